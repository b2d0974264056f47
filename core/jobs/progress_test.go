package jobs

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// TestEarlierBuildReadsProgressWithCrashes guards against a row of progress that a build without
// crashes cannot decode.
func TestEarlierBuildReadsProgressWithCrashes(t *testing.T) {
	type earlierStepProgress struct {
		Occurrence int       `cbor:"1,keyasint"`
		Step       int       `cbor:"2,keyasint"`
		AllDone    bool      `cbor:"3,keyasint,omitempty"`
		Done       []int     `cbor:"4,keyasint,omitempty"`
		Failures   []Failure `cbor:"5,keyasint,omitempty"`
	}
	type earlierProgress struct {
		State State                 `cbor:"1,keyasint"`
		Steps []earlierStepProgress `cbor:"3,keyasint,omitempty"`
	}
	failures := []Failure{{Task: 1, Run: 2}}
	data, err := Encode(Progress{State: Running, Steps: []StepProgress{{Step: 1, Done: []int{0}, Failures: failures, Crashes: []Failure{{Task: 1, Run: 3}}}}})
	if err != nil {
		t.Fatal(err)
	}
	var got earlierProgress
	if err := cbor.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	want := earlierProgress{State: Running, Steps: []earlierStepProgress{{Step: 1, Done: []int{0}, Failures: failures}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("an earlier build reads %+v, want %+v", got, want)
	}
}

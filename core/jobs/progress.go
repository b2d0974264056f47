package jobs

import (
	"cmp"
	"slices"
)

// Progress is the persisted execution state of a job. A worker may drop the result of a run
// once Progress holds it.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// Started is set once a task of the job has started.
	Started bool `cbor:"2,keyasint,omitempty"`
	// Steps has an entry for each step with done tasks, failed runs or crashes, except in occurrences that
	// are done.
	Steps []StepProgress `cbor:"3,keyasint,omitempty"`
	// Done has the occurrences whose tasks are all done.
	Done OccurrenceSet `cbor:"4,keyasint,omitempty"`
	// Parts is the number of further rows that hold the encoded progress if it is too large for
	// one row. Such a Progress has the state, and neither steps nor occurrences.
	Parts int `cbor:"5,keyasint,omitempty"`
	// Epoch and Revision identify the record: the epoch of the leader that wrote it, and its number
	// among those of the job in that epoch.
	Epoch    int64 `cbor:"6,keyasint,omitempty"`
	Revision int   `cbor:"7,keyasint,omitempty"`
}

// StepProgress is the progress of one step of one occurrence.
type StepProgress struct {
	Occurrence int `cbor:"1,keyasint"`
	Step       int `cbor:"2,keyasint"`
	// Done lists the indexes of the tasks that are done. If all are, AllDone is set instead.
	AllDone bool  `cbor:"3,keyasint,omitempty"`
	Done    []int `cbor:"4,keyasint,omitempty"`
	// Failures lists the failed runs. A failed run of a gang is listed once, for its first task.
	Failures []Failure `cbor:"5,keyasint,omitempty"`
	// Crashes lists the runs whose worker crashed, in the same way.
	Crashes []Failure `cbor:"6,keyasint,omitempty"`
}

// Failure identifies a run that failed, or whose worker crashed, by the index of its task and the number of the run.
type Failure struct {
	Task int `cbor:"1,keyasint"`
	Run  int `cbor:"2,keyasint"`
	// Doubtful is set for a crash if the worker never told that it had the run, and was lost without proof
	// of a crash. Earlier builds ignore it.
	Doubtful bool `cbor:"3,keyasint,omitempty"`
}

// OccurrenceSet is a set of occurrences, as ranges in ascending order that neither overlap nor
// touch. The zero value is empty.
type OccurrenceSet []OccurrenceRange

// OccurrenceRange holds the occurrences from First up to, but not including, End.
type OccurrenceRange struct {
	First int `cbor:"1,keyasint"`
	End   int `cbor:"2,keyasint"`
}

// search returns the index of the first range that ends after an occurrence.
func (s OccurrenceSet) search(occurrence int) int {
	i, _ := slices.BinarySearchFunc(s, occurrence, func(r OccurrenceRange, k int) int { return cmp.Compare(r.End, k+1) })
	return i
}

// Contains reports whether the set has an occurrence.
func (s OccurrenceSet) Contains(occurrence int) bool {
	i := s.search(occurrence)
	return i < len(s) && s[i].First <= occurrence
}

// Add adds an occurrence.
func (s *OccurrenceSet) Add(occurrence int) {
	if s.Contains(occurrence) {
		return
	}
	list, i := *s, s.search(occurrence)
	follows := i > 0 && list[i-1].End == occurrence
	precedes := i < len(list) && list[i].First == occurrence+1
	switch {
	case follows && precedes:
		list[i-1].End = list[i].End
		list = slices.Delete(list, i, i+1)
	case follows:
		list[i-1].End++
	case precedes:
		list[i].First--
	default:
		list = slices.Insert(list, i, OccurrenceRange{occurrence, occurrence + 1})
	}
	*s = list
}

// Len returns the number of occurrences in the set.
func (s OccurrenceSet) Len() int {
	count := 0
	for _, r := range s {
		count += r.End - r.First
	}
	return count
}

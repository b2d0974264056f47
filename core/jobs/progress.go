package jobs

// Progress is the persisted execution state of a job. A worker may drop the result of a run
// once Progress holds it.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// Started is set once a task of the job has started.
	Started bool `cbor:"2,keyasint,omitempty"`
	// Steps has an entry for each step with done tasks or failed runs.
	Steps []StepProgress `cbor:"3,keyasint,omitempty"`
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
}

// Failure identifies a failed run by the index of its task and the number of the run.
type Failure struct {
	Task int `cbor:"1,keyasint"`
	Run  int `cbor:"2,keyasint"`
}

package jobs

// Progress is what is known for good about a job: ends of runs that a worker
// may forget once they stand here.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// Begun says that a task has started.
	Started bool `cbor:"2,keyasint,omitempty"`
	// Steps has an entry for each step that has something to tell.
	Steps []StepProgress `cbor:"3,keyasint,omitempty"`
}

// StepProgress is the part of a Progress about one step of an occurrence.
type StepProgress struct {
	Occurrence int `cbor:"1,keyasint"`
	Step       int `cbor:"2,keyasint"`
	// Done lists the tasks that are done; AllDone stands for all of them.
	AllDone bool  `cbor:"3,keyasint,omitempty"`
	Done    []int `cbor:"4,keyasint,omitempty"`
	// Failures lists the runs that failed. A gang's runs are listed for its
	// first task.
	Failures []Failure `cbor:"5,keyasint,omitempty"`
}

// Failure is a run that failed.
type Failure struct {
	Task int `cbor:"1,keyasint"`
	Run  int `cbor:"2,keyasint"`
}

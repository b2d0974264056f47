package learn

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// ErrInvalid is wrapped by the errors of stored knowledge that cannot be used.
var ErrInvalid = errors.New("invalid durations")

// codecVersion changes with the meaning of the encoded values.
const codecVersion = 1

// headerBytes is more than the encoding takes beside the organizations and the names of the kinds.
const headerBytes = 64

// encodedQueue is the stored form of a queue.
type encodedQueue struct {
	Version int      `cbor:"1,keyasint"`
	Kinds   []string `cbor:"2,keyasint,omitempty"`
	// Organizations holds encoded organizations, those with the highest weight first.
	Organizations []cbor.RawMessage `cbor:"3,keyasint"`
}

// encodedOrganization is the stored form of an organization. Weights are relative to that of a new
// observation.
type encodedOrganization struct {
	Name string `cbor:"1,keyasint"`
	// Line has the weight, both means, the variance and the covariance.
	Line   [5]float32 `cbor:"2,keyasint"`
	Center float32    `cbor:"3,keyasint"`
	// First is the first bin with a weight, Weights has the weights from there on.
	First   int       `cbor:"4,keyasint"`
	Weights []float32 `cbor:"5,keyasint"`
	// Kinds and Steps hold the weight and the mean of each effect in turn.
	Kinds []float32 `cbor:"6,keyasint,omitempty"`
	Steps []float32 `cbor:"7,keyasint,omitempty"`
}

var encMode = newEncMode()

func newEncMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Queues returns the names of the queues that something is known about, sorted.
func (m *Model) Queues() []string { return slices.Sorted(maps.Keys(m.queues)) }

// Revision returns a number that grows with each change of what is known about a queue. It is 0 if
// nothing is.
func (m *Model) Revision(queue string) int64 {
	if q := m.queues[queue]; q != nil {
		return q.revision
	}
	return 0
}

// Encode returns what is known about a queue in at most limit bytes. If that does not suffice, the
// organizations are left out of which the least is known. It returns nil if nothing is known.
func (m *Model) Encode(queue string, limit int) ([]byte, error) {
	q := m.queues[queue]
	if q == nil {
		return nil, nil
	}
	names := slices.SortedFunc(maps.Keys(q.organizations), func(a, b string) int {
		return cmp.Or(cmp.Compare(q.organizations[b].weight(m.elapsed), q.organizations[a].weight(m.elapsed)), cmp.Compare(a, b))
	})
	encoded := encodedQueue{Version: codecVersion, Kinds: q.kinds}
	size := headerBytes
	for _, kind := range q.kinds {
		size += len(kind) + 3
	}
	for _, name := range names {
		data, err := encMode.Marshal(q.organizations[name].encode(name, m.elapsed))
		if err != nil {
			return nil, fmt.Errorf("encode durations of queue %q: %w", queue, err)
		}
		if size += len(data); size > limit {
			break
		}
		encoded.Organizations = append(encoded.Organizations, data)
	}
	data, err := encMode.Marshal(encoded)
	if err != nil {
		return nil, fmt.Errorf("encode durations of queue %q: %w", queue, err)
	}
	if len(data) > limit {
		return nil, fmt.Errorf("encode durations of queue %q: %d bytes exceed the limit of %d", queue, len(data), limit)
	}
	return data, nil
}

func (o *organization) encode(name string, elapsed time.Duration) encodedOrganization {
	e := encodedOrganization{
		Name: name, Center: float32(o.center), Kinds: encodeEffects(o.kinds[:]), Steps: encodeEffects(o.steps[:]),
		Line: [5]float32{float32(o.line.weight), float32(o.line.meanX), float32(o.line.meanY), float32(o.line.varX), float32(o.line.covXY)},
	}
	scale := 0.0
	if o.histogram.total > 0 {
		scale = o.weight(elapsed) / o.histogram.total
	}
	last := -1
	for i, w := range o.histogram.weights {
		if w <= 0 {
			continue
		}
		if last < 0 {
			e.First = i
		}
		last = i
	}
	for i := e.First; i <= last; i++ {
		e.Weights = append(e.Weights, float32(float64(o.histogram.weights[i])*scale))
	}
	return e
}

// encodeEffects returns the effects up to the last one of which something is known.
func encodeEffects(effects []effect) []float32 {
	var list []float32
	for i, e := range effects {
		if e.weight > 0 {
			list = append(list, make([]float32, 2*i-len(list))...)
			list = append(list, e.weight, e.mean)
		}
	}
	return list
}

// Decode adds what an earlier Model had encoded about a queue. The error of knowledge that is
// malformed or has values out of range wraps ErrInvalid, and nothing of it is added.
func (m *Model) Decode(queue string, data []byte) error {
	if len(queue) > maxNameBytes {
		return fmt.Errorf("%w: name of queue has %d bytes", ErrInvalid, len(queue))
	}
	var encoded encodedQueue
	if err := cbor.Unmarshal(data, &encoded); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if encoded.Version != codecVersion {
		return fmt.Errorf("%w: version %d", ErrInvalid, encoded.Version)
	}
	if len(encoded.Organizations) > maxOrganizations || len(encoded.Kinds) > maxKinds {
		return fmt.Errorf("%w: %d organizations, %d kinds of workers", ErrInvalid, len(encoded.Organizations), len(encoded.Kinds))
	}
	for _, kind := range encoded.Kinds {
		if kind == "" || len(kind) > maxNameBytes {
			return fmt.Errorf("%w: kind of worker has %d bytes", ErrInvalid, len(kind))
		}
	}
	list := make([]*organization, len(encoded.Organizations))
	names := make([]string, len(encoded.Organizations))
	for i, raw := range encoded.Organizations {
		var e encodedOrganization
		if err := cbor.Unmarshal(raw, &e); err != nil {
			return fmt.Errorf("%w: organization %d: %w", ErrInvalid, i, err)
		}
		o, err := e.decode()
		if err != nil {
			return fmt.Errorf("organization %d: %w", i, err)
		}
		list[i], names[i] = o, e.Name
	}
	q := m.queue(queue)
	q.usedAt = m.elapsed
	q.revision++
	q.sharedAt = 0
	kinds := make([]int, len(encoded.Kinds))
	for i, kind := range encoded.Kinds {
		kinds[i] = q.kindIndex(kind)
	}
	for i, o := range list {
		o.fadedAt = m.elapsed
		o.renumberKinds(kinds)
		q.adopt(names[i], o)
	}
	return nil
}

// decode returns the organization, or an error that wraps ErrInvalid.
func (e *encodedOrganization) decode() (*organization, error) {
	if len(e.Name) > maxNameBytes || e.First < 0 || e.First+len(e.Weights) > bins || len(e.Kinds) > 2*maxKinds || len(e.Steps) > 2*maxSteps ||
		len(e.Kinds)%2 != 0 || len(e.Steps)%2 != 0 {
		return nil, fmt.Errorf("%w: name of %d bytes, bins %d to %d, effects of %d kinds and %d steps", ErrInvalid, len(e.Name), e.First, e.First+len(e.Weights), len(e.Kinds)/2, len(e.Steps)/2)
	}
	o := &organization{center: float64(e.Center), stale: true}
	o.line = Line{float64(e.Line[0]), float64(e.Line[1]), float64(e.Line[2]), float64(e.Line[3]), float64(e.Line[4])}
	valid := within(o.center, maxLog) && within(o.line.meanX, maxLog) && within(o.line.meanY, maxLog) && within(o.line.covXY, maxLog*maxLog) &&
		o.line.varX >= 0 && within(o.line.varX, maxLog*maxLog) && o.line.weight >= 0 && within(o.line.weight, maxWeight)
	o.histogram.increment = 1
	for i, w := range e.Weights {
		valid = valid && w >= 0 && within(float64(w), 2*maxWeight)
		o.histogram.addAt(e.First+i, float64(w))
	}
	valid = valid && o.histogram.total <= 2*maxWeight && decodeEffects(o.kinds[:], e.Kinds) && decodeEffects(o.steps[:], e.Steps)
	if !valid {
		return nil, fmt.Errorf("%w: a value is out of range", ErrInvalid)
	}
	return o, nil
}

// maxLog bounds logarithms of durations and their ratios, which are below 36.
const maxLog = 64

func within(value, limit float64) bool { return math.Abs(value) <= limit }

func decodeEffects(effects []effect, list []float32) bool {
	valid := true
	for i := 0; i+1 < len(list); i += 2 {
		e := effect{list[i], list[i+1]}
		valid = valid && e.weight >= 0 && within(float64(e.weight), maxEffectWeight) && within(float64(e.mean), maxLog)
		effects[i/2] = e
	}
	return valid
}

// renumberKinds gives the effects of kinds of workers other indexes; -1 drops an effect.
func (o *organization) renumberKinds(indexes []int) {
	var renumbered [maxKinds]effect
	for i, index := range indexes {
		if index >= 0 {
			renumbered[index] = o.kinds[i]
		}
	}
	o.kinds = renumbered
}

// adopt adds what is known of an organization. If something is known already, its line and effects
// stay where they rest on more, and the residuals are added up.
func (q *queue) adopt(name string, o *organization) {
	present := q.organizations[name]
	if present == nil {
		if len(q.organizations) < maxOrganizations {
			q.organizations[name] = o
		}
		return
	}
	frame, other := present, o
	if other.line.weight > frame.line.weight {
		frame, other = other, frame
	}
	frame.histogram.merge(&other.histogram, other.line.meanX-frame.line.at(other.line.meanX, true), 1)
	for i := range frame.kinds {
		frame.kinds[i] = stronger(frame.kinds[i], other.kinds[i])
	}
	for i := range frame.steps {
		frame.steps[i] = stronger(frame.steps[i], other.steps[i])
	}
	frame.stale = true
	q.organizations[name] = frame
}

func stronger(a, b effect) effect {
	if b.weight > a.weight {
		return b
	}
	return a
}

package peer

import (
	"fmt"
	"time"

	"trefoildeck/core/fleet"
	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/io/peer/peerpb"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// EncodeOrders encodes the leader's orders to a worker's sidecar, as several messages if they
// don't fit into one.
func EncodeOrders(o *fleet.Orders) []*peerpb.Orders {
	p := orderPacker{incarnation: o.Incarnation}

	for _, a := range o.Adopted {
		m, order := p.addStart(a)
		m.Adopted = append(m.Adopted, order)
	}

	for _, s := range o.Stops {
		stop := &peerpb.StopOrder{
			Task:    s.Task.String(),
			Attempt: int64(s.Attempt),
		}
		m := p.message(itemSize(proto.Size(stop)))
		m.Stops = append(m.Stops, stop)
	}

	for _, s := range o.Starts {
		m, order := p.addStart(s)
		m.Starts = append(m.Starts, order)
	}

	return p.messages
}

// orderPacker packs orders into messages of at most maxPackedBytes. Tasks of a job have the same
// text and image, so that a message has each string once.
type orderPacker struct {
	incarnation gate.Incarnation
	messages    []*peerpb.Orders
	// size is the size of the items in the last message, and numbers has its strings.
	size    int
	numbers map[string]uint32
}

// message returns the message for an item of a size, in bytes: the last one, or a new one if that
// is full.
func (p *orderPacker) message(size int) *peerpb.Orders {
	if len(p.messages) == 0 || p.size+size > maxPackedBytes {
		p.messages = append(p.messages, &peerpb.Orders{
			WorkerID: p.incarnation.ID,
			Born:     p.incarnation.Born,
		})
		p.size = 0
		p.numbers = map[string]uint32{}
	}

	p.size += size

	return p.messages[len(p.messages)-1]
}

// maxNumberBytes is the largest size of the field with the number of a string, in bytes.
const maxNumberBytes = 1 + 5

// addStart adds the strings of an order to a message that has room for the order as well.
func (p *orderPacker) addStart(o gate.StartOrder) (*peerpb.Orders, *peerpb.StartOrder) {
	order := &peerpb.StartOrder{
		Task:       o.Task.String(),
		Attempt:    int64(o.Attempt),
		Checkpoint: o.Checkpoint,
		Size:       encodeSize(o.Size),
		Fills:      o.Fills,
		TargetMS:   o.Target.Milliseconds(),
		EstimateMS: o.Estimate.Milliseconds(),
	}
	size := itemSize(proto.Size(order) + 2*maxNumberBytes)

	for _, text := range []string{o.Text, o.Image} {
		if p.numbers[text] == 0 {
			size += itemSize(len(text))
		}
	}

	m := p.message(size)
	order.Text, order.Image = p.number(m, o.Text), p.number(m, o.Image)

	return m, order
}

// number returns the number of a string in the last message, to which it is added if it is new.
func (p *orderPacker) number(m *peerpb.Orders, text string) uint32 {
	if text == "" {
		return 0
	}

	n, ok := p.numbers[text]
	if !ok {
		m.Texts = append(m.Texts, text)
		n = uint32(len(m.GetTexts()))
		p.numbers[text] = n
	}

	return n
}

// DecodeOrders decodes a message with orders of the leader to a worker's sidecar.
func DecodeOrders(m *peerpb.Orders) (fleet.Orders, error) {
	o := fleet.Orders{
		Incarnation: gate.Incarnation{
			ID:   m.GetWorkerID(),
			Born: m.GetBorn(),
		},
	}

	var err error

	if o.Starts, err = decodeStarts(m.GetStarts(), m.GetTexts()); err != nil {
		return fleet.Orders{}, err
	}

	if o.Adopted, err = decodeStarts(m.GetAdopted(), m.GetTexts()); err != nil {
		return fleet.Orders{}, err
	}

	for _, s := range m.GetStops() {
		id, err := job.ParseTaskID(s.GetTask())
		if err != nil {
			return fleet.Orders{}, fmt.Errorf("decode stop: %w", err)
		}

		o.Stops = append(o.Stops, fleet.Stop{
			Task:    id,
			Attempt: int(s.GetAttempt()),
		})
	}

	return o, nil
}

func decodeStarts(list []*peerpb.StartOrder, texts []string) ([]gate.StartOrder, error) {
	var orders []gate.StartOrder

	for _, s := range list {
		id, err := job.ParseTaskID(s.GetTask())
		if err != nil {
			return nil, fmt.Errorf("decode start: %w", err)
		}

		text, err := textOf(s.GetText(), texts)
		if err != nil {
			return nil, fmt.Errorf("decode start of %s: %w", id, err)
		}

		image, err := textOf(s.GetImage(), texts)
		if err != nil {
			return nil, fmt.Errorf("decode start of %s: %w", id, err)
		}

		orders = append(orders, gate.StartOrder{
			Task:       id,
			Attempt:    int(s.GetAttempt()),
			Text:       text,
			Checkpoint: s.GetCheckpoint(),
			Size:       decodeSize(s.GetSize()),
			Fills:      s.GetFills(),
			Target:     time.Duration(s.GetTargetMS()) * time.Millisecond,
			Estimate:   time.Duration(s.GetEstimateMS()) * time.Millisecond,
			Image:      image,
		})
	}

	return orders, nil
}

// errNoText says that an order refers to a text that its message lacks.
var errNoText = eris.New("the message lacks the text")

// textOf returns the text with a number.
func textOf(number uint32, texts []string) (string, error) {
	switch {
	case number == 0:
		return "", nil
	case int64(number) > int64(len(texts)):
		return "", fmt.Errorf("text %d of %d: %w", number, len(texts), errNoText)
	default:
		return texts[number-1], nil
	}
}

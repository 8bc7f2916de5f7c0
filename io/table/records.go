package table

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/core/resource"

	"github.com/rotisserie/eris"
)

// Partitions of the table.
const (
	PartitionHead           = "Head"
	PartitionResource       = "Resource"
	PartitionAudit          = "Audit"
	PartitionShard          = "Shard"
	PartitionEntry          = "Entry"
	partitionPage           = "Page "
	partitionSegment        = "Segment "
	partitionIdempotencyKey = "IdempotencyKey "
)

// HeadKey returns the key of the row whose version is the revision of the last
// change.
func HeadKey() Key {
	return Key{
		Partition: PartitionHead,
		Sort:      "Revision",
	}
}

// ResourceKey returns the key of a resource's row.
func ResourceKey(id resource.ID) Key {
	return Key{
		Partition: PartitionResource,
		Sort:      id.String(),
	}
}

// ShardKey returns the key of the lease row of a data centre's shard.
func ShardKey(dataCentre string) Key {
	return Key{
		Partition: PartitionShard,
		Sort:      dataCentre,
	}
}

// PagePartition returns the partition of a data centre's pages.
func PagePartition(dataCentre string) string {
	return partitionPage + dataCentre
}

// PageRowKey returns the key of a page's row.
func PageRowKey(k placement.PageKey) Key {
	return Key{
		Partition: PagePartition(k.DataCentre),
		Sort:      fmt.Sprintf("%06d", k.Number),
	}
}

// SegmentPartition returns the partition of a job's segments.
func SegmentPartition(job string) string {
	return partitionSegment + job
}

// SegmentRowKey returns the key of a segment's row.
func SegmentRowKey(k placement.SegmentKey) Key {
	return Key{
		Partition: SegmentPartition(k.Job),
		Sort:      fmt.Sprintf("%06d", k.Number),
	}
}

// IdempotencyRowKey returns the key of the row of a service's idempotency key. hash
// is a hash of the idempotency key.
func IdempotencyRowKey(service, hash string) Key {
	return Key{
		Partition: partitionIdempotencyKey + service,
		Sort:      hash,
	}
}

// AuditKey returns the key of the audit row of the n-th change of a revision.
func AuditKey(revision int64, n int) Key {
	return Key{
		Partition: PartitionAudit,
		Sort:      fmt.Sprintf("%s%03d", AuditAfter(revision-1), n),
	}
}

// AuditAfter returns a sort key above all audit rows of a revision and below those
// of the next one.
func AuditAfter(revision int64) string {
	return fmt.Sprintf("%018d ", revision+1)
}

// Audit is the audit record of one change of a resource. From and To are the specs
// before and after it.
type Audit struct {
	Revision int64
	ChangeID string
	Operator string
	Time     time.Time
	Kind     resource.Kind
	Name     string
	Deleted  bool            `json:",omitempty"`
	From     json.RawMessage `json:",omitempty"`
	To       json.RawMessage `json:",omitempty"`
}

// Resource returns the resource after the change.
func (a *Audit) Resource() (resource.Resource, error) {
	r := resource.Resource{
		ID: resource.ID{
			Kind: a.Kind,
			Name: a.Name,
		},
		Revision: a.Revision,
		Deleted:  a.Deleted,
	}

	if a.Deleted {
		return r, nil
	}

	spec, err := resource.Decode(a.Kind, a.To)
	if err != nil {
		return r, fmt.Errorf("read audit record %d: %w", a.Revision, err)
	}

	r.Spec = spec

	return r, nil
}

// ReadAudit decodes an audit row.
func ReadAudit(r Row) (Audit, error) {
	var a Audit
	if err := json.Unmarshal(r.Body, &a); err != nil {
		return a, fmt.Errorf("read audit row %s: %w", r.Key.Sort, err)
	}

	return a, nil
}

// ReadResource decodes a resource row.
func ReadResource(r Row) (resource.Resource, error) {
	kind, name, _ := strings.Cut(r.Key.Sort, " ")

	spec, err := resource.Decode(resource.Kind(kind), r.Body)
	if err != nil {
		return resource.Resource{}, fmt.Errorf("read resource row %s: %w", r.Key.Sort, err)
	}

	return resource.Resource{
		ID: resource.ID{
			Kind: resource.Kind(kind),
			Name: name,
		},
		Revision: r.Version,
		Spec:     spec,
	}, nil
}

// Shard is the body of a shard's lease row.
type Shard struct {
	Holder  string
	Epoch   int64
	Lease   time.Duration
	Summary placement.Summary
}

// Entry is the body of an entry's row.
type Entry struct {
	Name        string
	DataCentre  string
	PeerAddress string
	Lease       time.Duration
}

// ErrMalformed says that a row's body does not fit its key, or lacks what every row has.
var ErrMalformed = eris.New("malformed row")

// ReadPage decodes a page row.
func ReadPage(r Row) (*placement.Page, error) {
	var p placement.Page
	if err := json.Unmarshal(r.Body, &p); err != nil {
		return nil, fmt.Errorf("read page %s: %w", r.Key.Sort, err)
	}

	if PageRowKey(p.Key()) != r.Key {
		return nil, fmt.Errorf("read page %s: it says to be page %d of %s: %w", r.Key.Sort, p.Number, p.DataCentre, ErrMalformed)
	}

	for name, w := range p.Workers {
		if w == nil || w.Name != name {
			return nil, fmt.Errorf("read page %s: worker %s: %w", r.Key.Sort, name, ErrMalformed)
		}

		if w.Committed == nil {
			w.Committed = map[string]placement.Size{}
		}
	}

	if p.Workers == nil {
		p.Workers = map[string]*placement.Worker{}
	}

	p.Version = r.Version

	return &p, nil
}

// ReadSegment decodes a segment row.
func ReadSegment(r Row) (*placement.Segment, error) {
	var s placement.Segment
	if err := json.Unmarshal(r.Body, &s); err != nil {
		return nil, fmt.Errorf("read segment %s: %w", r.Key.Sort, err)
	}

	if SegmentRowKey(s.Key()) != r.Key || s.Number < 0 || len(s.Tasks) > placement.SegmentSize {
		return nil, fmt.Errorf("read segment %s: it says to be segment %d of %s with %d tasks: %w",
			r.Key.Sort, s.Number, s.Job, len(s.Tasks), ErrMalformed)
	}

	s.Version = r.Version

	return &s, nil
}

// BatchWrites returns the writes of a batch. They are conditional on the shard's
// epoch, so that a former holder of the shard can't write.
func BatchWrites(b *placement.Batch) ([]Write, error) {
	writes := []Write{{
		Key:    epochKey(b.DataCentre),
		Action: ActionCheck,
		Expect: b.Epoch,
	}}

	for _, p := range b.Pages {
		w, err := putJSON(PageRowKey(p.Key()), p.Version, p)
		if err != nil {
			return nil, err
		}

		writes = append(writes, w)
	}

	for _, s := range b.Segments {
		w, err := putJSON(SegmentRowKey(s.Key()), s.Version, s)
		if err != nil {
			return nil, err
		}

		writes = append(writes, w)
	}

	for k, version := range b.Deleted {
		writes = append(writes, Write{
			Key:    SegmentRowKey(k),
			Action: ActionDelete,
			Expect: version,
		})
	}

	return writes, nil
}

func putJSON(k Key, version int64, body any) (Write, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Write{}, fmt.Errorf("encode row %s: %w", k.Sort, err)
	}

	return Write{
		Key:     k,
		Expect:  version,
		Version: version + 1,
		Body:    data,
	}, nil
}

// PutJSON returns a write of body, encoded as JSON, as the next version of a row
// that is at version; 0 stands for a new row.
func PutJSON(k Key, version int64, body any) (Write, error) {
	return putJSON(k, version, body)
}

// epochKey returns the key of the row whose version is a shard's epoch. It is not
// the lease row, so that renewals of the lease don't conflict with batches.
func epochKey(dataCentre string) Key {
	return Key{
		Partition: "Epoch",
		Sort:      dataCentre,
	}
}

// EpochKey returns the key of the row whose version is a shard's epoch.
func EpochKey(dataCentre string) Key {
	return epochKey(dataCentre)
}

// FormatETag formats a revision as an HTTP entity tag.
func FormatETag(revision int64) string {
	return strconv.Quote(strconv.FormatInt(revision, 10))
}

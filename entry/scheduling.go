package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/core/resource"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/table"

	"go.uber.org/zap"
)

// jobKey is unique over all jobs that were ever declared.
func jobKey(name string, revision int64) string {
	return fmt.Sprintf("%s@%d", name, revision)
}

func jobSpec(r resource.Resource, j *resource.Job) placement.JobSpec {
	return placement.JobSpec{
		Key:         jobKey(r.ID.Name, r.Revision),
		Name:        r.ID.Name,
		Team:        j.Team,
		Tasks:       int(j.Tasks),
		Size:        sizeOf(j.MilliCores, j.MemoryMB, j.Accelerators),
		RunTime:     j.RunTime,
		Urgent:      j.Urgent,
		DataCentres: j.DataCentres,
		Command:     j.Command,
	}
}

// informJob adds or cancels a job. Its caller holds mu.
func (e *Entry) informJob(now time.Time, r resource.Resource) {
	for _, key := range e.scheduler.JobKeys(r.ID.Name) {
		if r.Deleted || key != jobKey(r.ID.Name, r.Revision) {
			e.scheduler.CancelJob(key)
		}
	}

	if j, ok := r.Spec.(*resource.Job); ok {
		e.scheduler.SetJob(now, jobSpec(r, j), nil)
	}
}

// schedule runs the scheduler once and carries out what it wants.
func (e *Entry) schedule(ctx context.Context) {
	now := time.Now()

	e.mu.Lock()
	e.releaseLapsed(now)
	c := e.scheduler.Tick(now)
	e.mu.Unlock()

	e.metrics.tick.Update(time.Since(now).Seconds())

	for _, b := range c.Batches {
		go e.commit(ctx, b)
	}

	e.send(c)
}

func (e *Entry) send(c placement.Commands) {
	for _, s := range c.Starts {
		e.log.Info("TaskStartSent", zap.Stringer("Task", s.ID), zap.String("Worker", s.Worker))
		e.sendWorker(s.Worker, &peerpb.Frame{Body: &peerpb.Frame_StartTask{StartTask: &peerpb.StartTask{
			Job:          s.ID.Job,
			Task:         int32(s.ID.Task),
			Attempt:      int32(s.ID.Attempt),
			BootID:       s.BootID,
			Command:      s.Command,
			MilliCores:   s.Size.MilliCores,
			MemoryMB:     s.Size.MemoryMB,
			Accelerators: s.Size.Accelerators,
			RunTime:      int64(s.RunTime),
			Checkpoint:   s.Checkpoint,
		}}})
	}

	for _, s := range c.Stops {
		e.log.Info("TaskStopSent", zap.Stringer("Task", s.ID), zap.String("Worker", s.Worker))
		e.sendWorker(s.Worker, &peerpb.Frame{Body: &peerpb.Frame_StopTask{StopTask: &peerpb.StopTask{
			Job:        s.ID.Job,
			Task:       int32(s.ID.Task),
			Attempt:    int32(s.ID.Attempt),
			Checkpoint: s.Checkpoint,
		}}})
	}

	for _, t := range c.Throttles {
		e.log.Info("TaskThrottled", zap.Stringer("Task", t.ID), zap.String("Worker", t.Worker), zap.Int("Percent", t.Percent))
		e.sendWorker(t.Worker, &peerpb.Frame{Body: &peerpb.Frame_ThrottleTask{ThrottleTask: &peerpb.ThrottleTask{
			Job:     t.ID.Job,
			Task:    int32(t.ID.Task),
			Attempt: int32(t.ID.Attempt),
			Percent: int32(t.Percent),
		}}})
	}

	for _, a := range c.EndAcks {
		e.sendWorker(a.Worker, &peerpb.Frame{Body: &peerpb.Frame_TaskReportAnswer{TaskReportAnswer: &peerpb.TaskReportAnswer{
			Job:     a.ID.Job,
			Task:    int32(a.ID.Task),
			Attempt: int32(a.ID.Attempt),
		}}})
	}
}

func (e *Entry) sendWorker(name string, f *peerpb.Frame) {
	if s := e.sessions.worker(name); s != nil {
		// The scheduler repeats what shows no effect.
		_ = s.Send(f)
	}
}

// commit writes a batch and takes its result in. Rows of a batch that was not
// written are read again first.
func (e *Entry) commit(ctx context.Context, b *placement.Batch) {
	result := e.write(ctx, b)

	e.mu.Lock()
	e.scheduler.ApplyResult(time.Now(), b, result)
	e.mu.Unlock()

	if result == placement.ResultWritten {
		return
	}

	for ctx.Err() == nil {
		err := e.reload(ctx, b.DataCentre)
		if err == nil {
			return
		}

		e.log.Warn("RowsNotReloaded", zap.String("DataCentre", b.DataCentre), zap.Error(err))

		select {
		case <-ctx.Done():
		case <-time.After(leasePeriod):
		}
	}
}

func (e *Entry) write(ctx context.Context, b *placement.Batch) placement.Result {
	writes, err := table.BatchWrites(b)
	if err != nil {
		e.log.Error("BatchNotEncoded", zap.Error(err))

		return placement.ResultRejected
	}

	began := time.Now()
	err = e.table.Commit(ctx, writes)
	e.metrics.commit.Update(time.Since(began).Seconds())
	e.metrics.rows.Add(len(writes))

	switch {
	case err == nil:
		return placement.ResultWritten
	case errors.Is(err, table.ErrConflict):
		e.log.Info("BatchRejected", zap.String("DataCentre", b.DataCentre))

		return placement.ResultRejected
	default:
		e.log.Warn("BatchUnknown", zap.String("DataCentre", b.DataCentre), zap.Error(err))

		return placement.ResultUnknown
	}
}

// reload reads the rows of a shard that are stale.
func (e *Entry) reload(ctx context.Context, dataCentre string) error {
	e.mu.Lock()
	numbers, keys := e.scheduler.StaleRows(dataCentre)
	e.mu.Unlock()

	pages, err := e.readPages(ctx, dataCentre, numbers)
	if err != nil {
		return err
	}

	segments, err := e.readSegments(ctx, keys)
	if err != nil {
		return err
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	e.scheduler.ApplyReloaded(time.Now(), dataCentre, pages, segments)

	return nil
}

// getLimit is the number of rows read in one request.
const getLimit = 100

func (e *Entry) getAll(ctx context.Context, keys []table.Key) (map[table.Key]table.Row, error) {
	found := map[table.Key]table.Row{}

	for len(keys) > 0 {
		n := min(getLimit, len(keys))

		rows, err := e.table.Get(ctx, keys[:n])
		if err != nil {
			return nil, fmt.Errorf("read rows: %w", err)
		}

		for _, r := range rows {
			found[r.Key] = r
		}

		keys = keys[n:]
	}

	return found, nil
}

func (e *Entry) readPages(ctx context.Context, dataCentre string, numbers []int) ([]*placement.Page, error) {
	var keys []table.Key

	for _, n := range numbers {
		keys = append(keys, table.PageRowKey(placement.PageKey{
			DataCentre: dataCentre,
			Number:     n,
		}))
	}

	rows, err := e.getAll(ctx, keys)
	if err != nil {
		return nil, err
	}

	pages := make([]*placement.Page, 0, len(numbers))

	for i, n := range numbers {
		row, ok := rows[keys[i]]
		if !ok {
			pages = append(pages, &placement.Page{
				DataCentre: dataCentre,
				Number:     n,
			})

			continue
		}

		p, err := table.ReadPage(row)
		if err != nil {
			return nil, err
		}

		pages = append(pages, p)
	}

	return pages, nil
}

func (e *Entry) readSegments(ctx context.Context, names []placement.SegmentKey) ([]*placement.Segment, error) {
	var keys []table.Key
	for _, k := range names {
		keys = append(keys, table.SegmentRowKey(k))
	}

	rows, err := e.getAll(ctx, keys)
	if err != nil {
		return nil, err
	}

	segments := make([]*placement.Segment, 0, len(names))

	for i, k := range names {
		row, ok := rows[keys[i]]
		if !ok {
			segments = append(segments, &placement.Segment{
				Job:    k.Job,
				Number: k.Number,
			})

			continue
		}

		c, err := table.ReadSegment(row)
		if err != nil {
			return nil, err
		}

		segments = append(segments, c)
	}

	return segments, nil
}

// jobSegments reads every segment of a job that has a row.
func (e *Entry) jobSegments(ctx context.Context, key string) ([]*placement.Segment, error) {
	rows, err := e.table.All(ctx, table.SegmentPartition(key))
	if err != nil {
		return nil, fmt.Errorf("read job: %w", err)
	}

	var list []*placement.Segment

	for _, row := range rows {
		c, err := table.ReadSegment(row)
		if err != nil {
			return nil, err
		}

		list = append(list, c)
	}

	return list, nil
}

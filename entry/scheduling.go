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

// jobKey returns a key that is unique among all jobs that were ever declared, also
// those of the same name.
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

// applyJob adds a job to the scheduler and cancels earlier jobs of its name, or all
// of them if the job was deleted. The caller must hold mu.
func (e *Entry) applyJob(r resource.Resource) {
	for _, key := range e.scheduler.JobKeys(r.ID.Name) {
		if r.Deleted || key != jobKey(r.ID.Name, r.Revision) {
			e.scheduler.CancelJob(key)
		}
	}

	if j, ok := r.Spec.(*resource.Job); ok {
		e.scheduler.SetJob(jobSpec(r, j), nil)
	}
}

// schedule runs the scheduler once and executes its commands.
func (e *Entry) schedule(ctx context.Context) {
	now := time.Now()

	e.mu.Lock()
	e.releaseLapsedShards(now)
	c := e.scheduler.Tick(now)
	e.mu.Unlock()

	e.metrics.tickSeconds.Update(time.Since(now).Seconds())

	for _, b := range c.Batches {
		go e.commitBatch(ctx, b)
	}

	e.sendCommands(c)
}

func (e *Entry) sendCommands(c placement.Commands) {
	for _, s := range c.Starts {
		e.log.Info("TaskStartSent", zap.Stringer("Task", s.ID), zap.String("Worker", s.Worker))
		e.sendToWorker(s.Worker, &peerpb.Frame{Body: &peerpb.Frame_StartTask{StartTask: &peerpb.StartTask{
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
		e.log.Info("TaskStopSent", zap.Stringer("Task", s.ID), zap.String("Worker", s.Worker), zap.String("Reason", s.Reason))
		e.sendToWorker(s.Worker, &peerpb.Frame{Body: &peerpb.Frame_StopTask{StopTask: &peerpb.StopTask{
			Job:        s.ID.Job,
			Task:       int32(s.ID.Task),
			Attempt:    int32(s.ID.Attempt),
			Checkpoint: s.Checkpoint,
		}}})
	}

	for _, t := range c.Throttles {
		e.log.Info("TaskThrottled", zap.Stringer("Task", t.ID), zap.String("Worker", t.Worker), zap.Int("Percent", t.Percent))
		e.sendToWorker(t.Worker, &peerpb.Frame{Body: &peerpb.Frame_ThrottleTask{ThrottleTask: &peerpb.ThrottleTask{
			Job:     t.ID.Job,
			Task:    int32(t.ID.Task),
			Attempt: int32(t.ID.Attempt),
			Percent: int32(t.Percent),
		}}})
	}

	for _, a := range c.EndAcks {
		e.sendToWorker(a.Worker, &peerpb.Frame{Body: &peerpb.Frame_TaskReportAnswer{TaskReportAnswer: &peerpb.TaskReportAnswer{
			Job:     a.ID.Job,
			Task:    int32(a.ID.Task),
			Attempt: int32(a.ID.Attempt),
		}}})
	}
}

func (e *Entry) sendToWorker(name string, f *peerpb.Frame) {
	if s := e.sessions.worker(name); s != nil {
		// The scheduler repeats commands that have no effect.
		_ = s.Send(f)
	}
}

// commitBatch writes a batch and reports the result to the scheduler. If the batch
// was rejected or is in doubt, its rows are stale and are read again until that
// succeeds.
func (e *Entry) commitBatch(ctx context.Context, b *placement.Batch) {
	result := e.writeBatch(ctx, b)

	e.mu.Lock()
	e.scheduler.ApplyResult(b, result)
	e.mu.Unlock()

	if result == placement.ResultWritten {
		return
	}

	for ctx.Err() == nil {
		err := e.reloadStaleRows(ctx, b.DataCentre)
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

func (e *Entry) writeBatch(ctx context.Context, b *placement.Batch) placement.Result {
	writes, err := table.BatchWrites(b)
	if err != nil {
		e.log.Error("BatchNotEncoded", zap.Error(err))

		return placement.ResultRejected
	}

	startedAt := time.Now()
	err = e.table.Commit(ctx, writes)
	e.metrics.commitSeconds.Update(time.Since(startedAt).Seconds())

	switch {
	case err == nil:
		e.metrics.rowsWritten.Add(len(writes))

		return placement.ResultWritten
	case errors.Is(err, table.ErrConflict):
		e.log.Info("BatchRejected", zap.String("DataCentre", b.DataCentre))

		return placement.ResultRejected
	default:
		e.log.Warn("BatchUnknown", zap.String("DataCentre", b.DataCentre), zap.Error(err))

		return placement.ResultUnknown
	}
}

// reloadStaleRows reads the stale rows of a shard again.
func (e *Entry) reloadStaleRows(ctx context.Context, dataCentre string) error {
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

	e.scheduler.ApplyReloaded(dataCentre, pages, segments)

	return nil
}

// maxRowsPerGet is the maximum number of rows read in one request.
const maxRowsPerGet = 100

func (e *Entry) getRows(ctx context.Context, keys []table.Key) (map[table.Key]table.Row, error) {
	found := map[table.Key]table.Row{}

	for len(keys) > 0 {
		n := min(maxRowsPerGet, len(keys))

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

	rows, err := e.getRows(ctx, keys)
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

func (e *Entry) readSegments(ctx context.Context, segmentKeys []placement.SegmentKey) ([]*placement.Segment, error) {
	var rowKeys []table.Key
	for _, k := range segmentKeys {
		rowKeys = append(rowKeys, table.SegmentRowKey(k))
	}

	rows, err := e.getRows(ctx, rowKeys)
	if err != nil {
		return nil, err
	}

	segments := make([]*placement.Segment, 0, len(segmentKeys))

	for i, k := range segmentKeys {
		row, ok := rows[rowKeys[i]]
		if !ok {
			segments = append(segments, &placement.Segment{
				Job:    k.Job,
				Number: k.Number,
			})

			continue
		}

		s, err := table.ReadSegment(row)
		if err != nil {
			return nil, err
		}

		segments = append(segments, s)
	}

	return segments, nil
}

// jobSegments reads the segments of a job that have a row.
func (e *Entry) jobSegments(ctx context.Context, key string) ([]*placement.Segment, error) {
	rows, err := e.table.All(ctx, table.SegmentPartition(key))
	if err != nil {
		return nil, fmt.Errorf("read job: %w", err)
	}

	var list []*placement.Segment

	for _, row := range rows {
		s, err := table.ReadSegment(row)
		if err != nil {
			return nil, err
		}

		list = append(list, s)
	}

	return list, nil
}

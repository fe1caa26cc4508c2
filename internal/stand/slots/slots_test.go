package slots_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/stand/slots"
)

func TestWorkIsAccountedByAttempt(t *testing.T) {
	s := slots.New(slots.Config{Limit: 1})
	run, err := s.Begin("r/0/0", 0)
	assert.NilError(t, err)
	assert.NilError(t, run.Work(context.Background(), 5*time.Millisecond))
	run.End(true)
	usage := s.TakeUsage()
	assert.Equal(t, len(usage), 1)
	assert.Equal(t, usage[0].ID, "r/0/0")
	assert.Assert(t, usage[0].Finished && usage[0].Spent >= 5*time.Millisecond)
	assert.Equal(t, len(s.TakeUsage()), 0)
}

func TestColdEndpointWarmsWithWork(t *testing.T) {
	s := slots.New(slots.Config{Limit: 4, ColdLimit: 1, ColdWork: time.Millisecond})
	s.TurnCold()
	assert.Equal(t, s.State().Limit, 1)
	run, err := s.Begin("r/0/0", 0)
	assert.NilError(t, err)
	assert.NilError(t, run.Work(context.Background(), time.Millisecond))
	run.End(true)
	assert.Equal(t, s.State().Limit, 4)
	assert.Equal(t, s.State().ColdCrashes, 0)
}

func TestRestartAbortsWork(t *testing.T) {
	s := slots.New(slots.Config{Limit: 4})
	run, err := s.Begin("r/0/0", 0)
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- run.Work(context.Background(), time.Hour) }()
	s.Restart()
	assert.ErrorIs(t, <-ended, slots.ErrReset)
	run.End(false)
	assert.Equal(t, s.State().Running, 0)
}

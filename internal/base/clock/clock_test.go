package clock_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

func ExampleFake() {
	fake := clock.NewFake(100)
	c := fake.Clock()
	due, _ := c.After(50)
	fake.Advance(50)
	<-due
	fmt.Println(c.Now())
	// Output: 150
}

func TestSleepEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, clock.New().Sleep(ctx, clock.Hour), context.Canceled)
}

func TestStoppedTimerIsRemoved(t *testing.T) {
	fake := clock.NewFake(0)
	_, stop := fake.Clock().After(10)
	stop()
	assert.Equal(t, fake.Pending(), 0)
}

package proc

import (
	"context"

	"github.com/samber/oops"
)

// Task is one step of a daemon's start.
type Task struct {
	Name string
	Run  func(ctx context.Context) error
}

// RunTasks runs the steps in order. It stops at the first that fails and returns its
// error with the name of the step.
func RunTasks(ctx context.Context, role string, tasks []Task) error {
	for _, t := range tasks {
		if err := t.Run(ctx); err != nil {
			return oops.In(role).With("step", t.Name).Wrapf(err, "%s: %s", role, t.Name)
		}
	}
	return nil
}

package api

import (
	"encoding/json"
	"fmt"

	"github.com/burdockward/burdockward/intake"
)

// Tasks are the tasks of a submission. More than MaxTasks are not decoded, as an element of two bytes would take the
// memory of a whole task.
type Tasks []Task

// TooManyTasksError means that a submission has more than MaxTasks tasks.
type TooManyTasksError struct{ Tasks int }

// Error implements error.
func (e *TooManyTasksError) Error() string {
	return fmt.Sprintf("the submission has %d tasks, at most %d are taken: split it", e.Tasks, MaxTasks)
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *Tasks) UnmarshalJSON(data []byte) error {
	if n := intake.CountElements(data); n > MaxTasks {
		return &TooManyTasksError{Tasks: n}
	}
	return json.Unmarshal(data, (*[]Task)(t))
}

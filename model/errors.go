package model

import (
	"fmt"
	"strings"
)

// FieldError is a validation error in one field of a document.
type FieldError struct {
	// Path locates the field, such as "routes[2].name".
	Path string `json:"path"`
	// Message describes the error.
	Message string `json:"message"`
}

// FieldErrors is the list of validation errors of one document.
type FieldErrors []FieldError

// Error returns all errors, separated by semicolons.
func (e FieldErrors) Error() string {
	parts := make([]string, 0, len(e))
	for _, f := range e {
		parts = append(parts, f.Path+": "+f.Message)
	}
	return strings.Join(parts, "; ")
}

// Err returns e, or an untyped nil if e is empty, so that callers can compare the
// result with nil.
func (e FieldErrors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// Add appends an error for the field at path.
func (e *FieldErrors) Add(path, format string, args ...any) {
	*e = append(*e, FieldError{
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	})
}

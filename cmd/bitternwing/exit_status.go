package main

import (
	"errors"

	"bitternwing/internal/adminapi"
	"bitternwing/internal/apiclient"
)

// The exit statuses besides 0 for success. Kong exits with 80 if the arguments are wrong.
const (
	exitFailure     = 1 // any other failure
	exitRefused     = 3
	exitNotFound    = 4
	exitUnavailable = 5
	exitInvalidPlan = 6
	exitRolledBack  = 7
	exitNotPlaced   = 8
)

// exitStatus returns the exit status for an error.
func exitStatus(err error) int {
	switch {
	case hasType[*apiclient.RefusedError](err), hasType[*adminapi.RefusedError](err):
		return exitRefused
	case errors.Is(err, apiclient.ErrNotFound), errors.Is(err, adminapi.ErrNotFound):
		return exitNotFound
	case hasType[*apiclient.UnavailableError](err), hasType[*adminapi.UnavailableError](err):
		return exitUnavailable
	case hasType[*adminapi.InvalidError](err):
		return exitInvalidPlan
	case errors.Is(err, errRolledBack):
		return exitRolledBack
	case errors.Is(err, errNotPlaced):
		return exitNotPlaced
	}
	return exitFailure
}

// hasType reports whether an error, or one that it wraps, has the type E.
func hasType[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}

package main

import (
	"errors"

	"bitternwing/internal/adminapi"
	"bitternwing/internal/apiclient"
)

// The exit statuses, beside 0 for success; kong ends with 80 for wrong arguments.
const (
	exitFailure     = 1 // any failure without a status of its own
	exitRefused     = 3
	exitNotFound    = 4
	exitUnavailable = 5
	exitInvalidPlan = 6
	exitRolledBack  = 7
	exitNotPlaced   = 8
)

// exitStatus gives the exit status for an error.
func exitStatus(err error) int {
	switch {
	case isType[*apiclient.RefusedError](err), isType[*adminapi.RefusedError](err):
		return exitRefused
	case errors.Is(err, apiclient.ErrNotFound), errors.Is(err, adminapi.ErrNotFound):
		return exitNotFound
	case isType[*apiclient.UnavailableError](err), isType[*adminapi.UnavailableError](err):
		return exitUnavailable
	case isType[*adminapi.InvalidError](err):
		return exitInvalidPlan
	case errors.Is(err, errRolledBack):
		return exitRolledBack
	case errors.Is(err, errNotPlaced):
		return exitNotPlaced
	}
	return exitFailure
}

// isType tells whether an error, or one that it wraps, is of a type.
func isType[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}

package core

import (
	"bitternwing/internal/wire"
)

// Effects that call the cloud.

// CloudCatalog reads the machine types.
type CloudCatalog struct{ CallID uint64 }

// CloudScaleOut requests machines.
type CloudScaleOut struct {
	CallID  uint64
	Request wire.ScaleOutRequest
}

// CloudScaleIn releases machines.
type CloudScaleIn struct {
	CallID uint64
	Names  []string
}

// CloudList reads a page of the cloud's list of machines, which starts after the machine named by After.
type CloudList struct {
	CallID uint64
	After  string
}

func (CloudCatalog) effect()  {}
func (CloudScaleOut) effect() {}
func (CloudScaleIn) effect()  {}
func (CloudList) effect()     {}

// Package bodylimit reads request bodies within a size and a time limit.
package bodylimit

// Package bodylimit is the middleware that reads request bodies, limited in size and time.
package bodylimit

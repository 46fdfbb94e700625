// Package weights is a stand-in for the store of model weights. It limits the total rate
// of all downloads.
package weights

// Package weights is a stand-in for the store of model weights. All downloads together
// are limited to one rate.
package weights

// Package accesslog counts, times and logs requests.
package accesslog

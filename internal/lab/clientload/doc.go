// Package clientload tests a node built for service on real processes: many clients at once, slow clients, and clients that
// leave. It has tests only.
package clientload

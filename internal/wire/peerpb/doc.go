// Package peerpb holds the generated protobuf messages between daemons.
package peerpb

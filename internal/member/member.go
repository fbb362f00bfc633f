// Package member keeps the member view: one store record that is changed only by compare-and-swap.
package member

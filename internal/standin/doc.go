// Package standin holds small stand-ins for the platform and for backend
// servers, with faults that tests switch on and a record of what happened to
// them, so that tests judge from the outside.
package standin

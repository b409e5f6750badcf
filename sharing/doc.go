// Package sharing learns how much batch tasks cost the services beside them and decides what to throttle and evict.
package sharing

// Includes the whole library and serves as its index. Each header documents its topic: use, pitfalls and errors.
//
// Index
//   daemon . configuration . request processing . endpoints and load . agreement between daemons . placement . utilities
//
// Most programs need the first two topics only:
//
//     chicoryrouter::daemon router(chicoryrouter::readSettingsFile("daemon.yaml"));
//
// Everything below the first topic is the core: it uses no sockets, threads, clocks or global variables. Time and random numbers are
// arguments and decisions are return values, so that tests can replay a decision exactly. `chicory-demo` shows every feature.
#pragma once

// ---- Daemon ----------------------------------------------------------------------------------------------------------------------------
#include "chicoryrouter/daemon.h"   // start, stop, status
#include "chicoryrouter/settings.h" // the settings of one daemon from a YAML file, with validation

// ---- Configuration ---------------------------------------------------------------------------------------------------------------------
#include "chicoryrouter/configuration.h" // adopts a document only if its revision is higher
#include "chicoryrouter/document.h"      // services, failure domains, client accounts, contracts, moves, placement
#include "chicoryrouter/error.h"         // all error kinds and their table

// ---- Request processing ----------------------------------------------------------------------------------------------------------------
#include "chicoryrouter/admission_queue.h" // waiting requests, weighted fair queueing
#include "chicoryrouter/claim.h"           // at-most-once execution by idempotency key
#include "chicoryrouter/dispatcher.h"      // assigns slots to requests; thread-safe
#include "chicoryrouter/request_machine.h" // state machine of a request: attempts, retries, hedges, stream moves, and exactly one result
#include "chicoryrouter/retry_budget.h"    // limits the load that retries may add
#include "chicoryrouter/stream_moves.h"    // chooses the streams that move with their KV cache

// ---- Endpoints and load ----------------------------------------------------------------------------------------------------------------
#include "chicoryrouter/endpoint.h"       // one endpoint and its shared counters
#include "chicoryrouter/endpoint_limit.h" // an endpoint's limit and each daemon's part of it
#include "chicoryrouter/fleet.h"          // the state of all known endpoints
#include "chicoryrouter/router.h"         // the routing rule
#include "chicoryrouter/routing_table.h"  // the immutable table that request threads read

// ---- Agreement between daemons ---------------------------------------------------------------------------------------------------------
#include "chicoryrouter/cluster_state.h" // gossip; combines the headers below in one object
#include "chicoryrouter/evidence.h"      // mergeable counts of answers for versions on trial
#include "chicoryrouter/membership.h"    // the live daemons
#include "chicoryrouter/send_order.h"    // selects the entries to send in gossip messages of bounded size
#include "chicoryrouter/spending.h"      // tokens spent by client accounts, over all daemons
#include "chicoryrouter/usage_ledger.h"  // requests by time window and client account
#include "chicoryrouter/version_mover.h" // version moves: traffic shares, vetoes and results

// ---- Placement -------------------------------------------------------------------------------------------------------------------------
#include "chicoryrouter/lease.h"     // the lease that lets one daemon place endpoints and send orders
#include "chicoryrouter/placement.h" // number, instance class and failure domain of endpoints
#include "chicoryrouter/scaling.h"   // number of endpoints from the load, for platforms where they are ordered by count

// ---- Utilities -------------------------------------------------------------------------------------------------------------------------
#include "chicoryrouter/bounded_counter.h" // atomic counters with an upper bound
#include "chicoryrouter/compression.h"     // compression of messages between daemons
#include "chicoryrouter/hash.h"            // rendezvous hashing, prefix keys
#include "chicoryrouter/random.h"          // random source concept and generator
#include "chicoryrouter/rcu_cell.h"        // read-copy-update
#include "chicoryrouter/time.h"            // time points and durations
#include "chicoryrouter/units.h"           // parses and prints "250ms", "2026-05-01T08:30:00Z"

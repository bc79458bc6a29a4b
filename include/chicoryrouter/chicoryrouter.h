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
#include "chicoryrouter/daemon.h"   // one daemon as an object: start, stop and status
#include "chicoryrouter/settings.h" // the settings of one daemon, read from a YAML file

// ---- Configuration ---------------------------------------------------------------------------------------------------------------------
#include "chicoryrouter/configuration.h" // the document in use; only a higher revision replaces it
#include "chicoryrouter/document.h"      // services, failure domains, client accounts, contracts, version moves, placement bounds
#include "chicoryrouter/error.h"         // all error kinds and their responses

// ---- Request processing ----------------------------------------------------------------------------------------------------------------
#include "chicoryrouter/admission_queue.h" // waiting requests, in weighted fair order
#include "chicoryrouter/claim.h"           // at-most-once execution by idempotency key
#include "chicoryrouter/dispatcher.h"      // grants endpoint slots to requests, or queues them; thread-safe
#include "chicoryrouter/request_machine.h" // state machine of a request: attempts, retries, hedges, stream moves, and exactly one result
#include "chicoryrouter/retry_budget.h"    // limits the load that retries and hedges may add
#include "chicoryrouter/stop_plan.h"       // the moments of a planned stop, and what it asks of open requests
#include "chicoryrouter/stream_moves.h"    // which streams of a reclaimed endpoint are moved with their KV cache

// ---- Endpoints and load ----------------------------------------------------------------------------------------------------------------
#include "chicoryrouter/endpoint.h"       // one endpoint and its counters
#include "chicoryrouter/endpoint_limit.h" // an endpoint's concurrency limit and this daemon's part of it
#include "chicoryrouter/fleet.h"          // the state of all known endpoints, with outlier detection
#include "chicoryrouter/load_control.h"   // whether placing by predicted waits, and refusals by rank, are in force
#include "chicoryrouter/router.h"         // chooses an endpoint for a request
#include "chicoryrouter/routing_table.h"  // the immutable table that request threads read
#include "chicoryrouter/wait_estimate.h"  // how long a request is predicted to wait at an endpoint

// ---- Agreement between daemons ---------------------------------------------------------------------------------------------------------
#include "chicoryrouter/cluster_state.h" // the state that daemons share by gossip, in one object
#include "chicoryrouter/evidence.h"      // counts of answers, failures and latencies per version, for version moves
#include "chicoryrouter/load_exchange.h" // prompt tokens that wait at endpoints and their pace, told between daemons
#include "chicoryrouter/membership.h"    // which daemons are alive, by a SWIM-style protocol
#include "chicoryrouter/send_order.h"    // selects the items to send in messages of bounded size
#include "chicoryrouter/spending.h"      // tokens that the other daemons spent from client accounts' limits
#include "chicoryrouter/usage_ledger.h"  // counts of requests per client account and time window
#include "chicoryrouter/version_mover.h" // version moves: traffic share, rejection and outcome

// ---- Placement -------------------------------------------------------------------------------------------------------------------------
#include "chicoryrouter/lease.h"     // the lease that lets only one daemon place a service's endpoints and give orders to its engines
#include "chicoryrouter/placement.h" // plans the endpoints of a service: number, instance class and failure domain
#include "chicoryrouter/scaling.h"   // autoscaling for platforms that keep a requested number of endpoints running

// ---- Utilities -------------------------------------------------------------------------------------------------------------------------
#include "chicoryrouter/bounded_counter.h" // atomic counters with an upper limit
#include "chicoryrouter/compression.h"     // compression of messages between daemons
#include "chicoryrouter/hash.h"            // rendezvous hashing, prefix keys
#include "chicoryrouter/random.h"          // random source concept and generator
#include "chicoryrouter/rcu_cell.h"        // read-copy-update for one value
#include "chicoryrouter/time.h"            // time points and durations
#include "chicoryrouter/units.h"           // parses and formats "250ms", "2026-05-01T08:30:00Z"

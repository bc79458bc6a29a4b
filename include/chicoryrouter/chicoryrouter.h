// The library in one place. This header reads as the manual's index; each topic's own header says how to use it and what to beware of.
//
// Index
//   a daemon . what operators write . a request's life . endpoints and load . agreement between daemons . placement . small tools
//
// Most programs need the first two topics only:
//
//     chicoryrouter::daemon router(chicoryrouter::readSettingsFile("daemon.yaml"));
//
// Everything below the first topic is the core: no socket, thread, clock or global in it. Time and randomness are arguments, decisions
// are return values, so a decision replays exactly. `chicory-demo` shows every feature at work.
#pragma once

// ---- A daemon --------------------------------------------------------------------------------------------------------------------------
#include "chicoryrouter/daemon.h"   // start, stop, status
#include "chicoryrouter/settings.h" // one daemon's YAML settings, every key checked

// ---- What operators write --------------------------------------------------------------------------------------------------------------
#include "chicoryrouter/configuration.h" // adoption: only a higher revision
#include "chicoryrouter/document.h"      // services, failure domains, client accounts, contracts, moves, placement
#include "chicoryrouter/error.h"         // the closed list of error kinds and its table

// ---- A request's life ------------------------------------------------------------------------------------------------------------------
#include "chicoryrouter/admission_queue.h" // waiting, fair by weight
#include "chicoryrouter/claim.h"           // at most once, by idempotency key
#include "chicoryrouter/dispatcher.h"      // slots handed out, thread-safe
#include "chicoryrouter/request_machine.h" // attempts, retries, hedges, moves, one end
#include "chicoryrouter/retry_budget.h"    // what retries may add
#include "chicoryrouter/stream_moves.h"    // which streams move with their KV cache

// ---- Endpoints and load ----------------------------------------------------------------------------------------------------------------
#include "chicoryrouter/endpoint.h"       // one endpoint and its shared counters
#include "chicoryrouter/endpoint_limit.h" // how much it bears, and whose part is whose
#include "chicoryrouter/fleet.h"          // all that is known of endpoints
#include "chicoryrouter/router.h"         // the routing rule
#include "chicoryrouter/routing_table.h"  // what request threads read

// ---- Agreement between daemons ---------------------------------------------------------------------------------------------------------
#include "chicoryrouter/agreement.h"     // gossip: all of the below in one object
#include "chicoryrouter/evidence.h"      // counts that merge
#include "chicoryrouter/membership.h"    // who lives
#include "chicoryrouter/spending.h"      // tokens of client accounts, over all daemons
#include "chicoryrouter/telling.h"       // whose turn it is in messages of bounded size
#include "chicoryrouter/usage_ledger.h"  // requests by window and client account
#include "chicoryrouter/version_mover.h" // shares, vetoes, verdicts

// ---- Placement -------------------------------------------------------------------------------------------------------------------------
#include "chicoryrouter/lease.h"     // who places and orders
#include "chicoryrouter/placement.h" // how many, which class, where
#include "chicoryrouter/scaling.h"   // how many, from the load, where endpoints are ordered by number

// ---- Small tools -----------------------------------------------------------------------------------------------------------------------
#include "chicoryrouter/bounded_counter.h" // counts with a bound, on many threads
#include "chicoryrouter/hash.h"            // rendezvous ranks, prefix keys
#include "chicoryrouter/packing.h"         // smaller messages between daemons
#include "chicoryrouter/random.h"          // the random source concept
#include "chicoryrouter/rcu_cell.h"        // read-copy-update
#include "chicoryrouter/time.h"            // moments and spans
#include "chicoryrouter/units.h"           // "250ms", "2026-05-01T08:30:00Z"

// The benchmarks, one function each; every one prints its table to standard output.
#pragma once

namespace chicoryrouter::bench {

void routing(); // cost of a decision; strategies compared
void moves();   // version moves over many seeded runs, both deployments
void slopes();  // control cost against daemons, endpoints, routes, accounts

void streams();    // streamed tokens through one daemon
void plain();      // plain requests beside a bare pass-through
void firsttoken(); // added time to the first token
void hundred();    // a hundred real daemons at once

void costs();  // a day's cost, placed in different ways
void report(); // the users' measures as a page with plots

} // namespace chicoryrouter::bench

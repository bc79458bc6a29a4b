// The benchmarks, one function each; every one prints its table to standard output.
#pragma once

namespace chicoryrouter::bench {

void moves(); // version moves over many seeded runs, both deployments

} // namespace chicoryrouter::bench

// What a daemon's connections to the store and to its peers have carried, as metrics. Both kinds of daemon show them.
#pragma once

#include "shell/metrics.h"
#include "shell/peer_link.h"
#include "shell/store_client.h"

namespace chicoryrouter {

inline void setConnectionGauges(metrics &counts, const store_counters &store, const peer_counters &peers)
{
    counts.setGauge("store_reads_total", static_cast<double>(store.reads));
    counts.setGauge("store_writes_total", static_cast<double>(store.writes));
    counts.setGauge("store_watches_total", static_cast<double>(store.watches));
    counts.setGauge("peer_bytes_sent_total", static_cast<double>(peers.bytesSent));
    counts.setGauge("peer_bytes_received_total", static_cast<double>(peers.bytesReceived));
    counts.setGauge("peer_calls_total", static_cast<double>(peers.calls));
    counts.setGauge("peer_calls_refused_total", static_cast<double>(peers.refused));
}

} // namespace chicoryrouter

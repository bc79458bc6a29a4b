// Exports the traffic counters of a daemon's store and peer connections as metrics. Both kinds of daemon use it.
#pragma once

#include "shell/metrics.h"
#include "shell/peer_link.h"
#include "shell/store_client.h"

namespace chicoryrouter {

inline void setConnectionGauges(metrics &registry, const store_counters &store, const peer_counters &peers)
{
    registry.setGauge("store_reads_total", static_cast<double>(store.reads));
    registry.setGauge("store_writes_total", static_cast<double>(store.writes));
    registry.setGauge("store_watches_total", static_cast<double>(store.watches));
    registry.setGauge("peer_bytes_sent_total", static_cast<double>(peers.bytesSent));
    registry.setGauge("peer_bytes_received_total", static_cast<double>(peers.bytesReceived));
    registry.setGauge("peer_calls_total", static_cast<double>(peers.calls));
    registry.setGauge("peer_calls_refused_total", static_cast<double>(peers.refused));
}

} // namespace chicoryrouter

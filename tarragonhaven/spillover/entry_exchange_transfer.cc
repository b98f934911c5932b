// The part of the entry's exchange that measures what it exchanges with other data centres.

#include "tarragonhaven/entry_exchange.h"

namespace tarragonhaven {

void EntryExchange::recordRoundTrip()
{
    const auto now = util::BootClock::now();
    m_entry.spillOver().recordRoundTrip(m_dataCentre, now - m_attemptStarted, now);
}

void EntryExchange::recordSentBytes(const DataCentreName& dataCentre, std::size_t bytes)
{
    const auto& dependencies = m_entry.dependencies();
    dependencies.metrics.recordTransferredBytes(dependencies.dataCentre, dataCentre, bytes);
}

void EntryExchange::recordReceived(const BodyChunk& chunk)
{
    recordSentBytes(m_dataCentre, chunk.data.size());
    m_receivedBytes += chunk.data.size();
    if (chunk.last)
        m_entry.spillOver().recordResponse(m_request.route.name, m_receivedBytes);
}

} // namespace tarragonhaven

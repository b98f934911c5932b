#include "tarragonhaven/pipelining/request_pipeline.h"

#include "util/check.h"

#include <algorithm>

namespace tarragonhaven {

RequestPipeline::RequestPipeline(std::size_t maximumRequests)
    : m_maximumRequests(std::max<std::size_t>(maximumRequests, 1))
{
}

bool RequestPipeline::mayRead() const
{
    if (m_readingEnded || (m_stopping && !m_requests.empty()))
        return false;
    return m_requests.size() < m_maximumRequests;
}

RequestPipeline::Number RequestPipeline::add()
{
    TARRAGONHAVEN_CHECK(mayRead(), "a request is read only if it may be read");
    m_requests.emplace_back();
    return endNumber() - 1;
}

RequestPipeline::Request* RequestPipeline::find(Number number)
{
    const bool known = number >= m_frontNumber && number < endNumber();
    return known ? &m_requests[number - m_frontNumber] : nullptr;
}

void RequestPipeline::classify(Number number, Traits traits)
{
    if (auto* request = find(number))
        request->traits = traits;
}

std::optional<RequestPipeline::Number> RequestPipeline::takeStartable()
{
    auto number = m_frontNumber;
    for (auto& request : m_requests) {
        const bool mayStart
            = number == m_frontNumber || (request.traits.idempotent && request.traits.complete);
        if (!request.started && mayStart) {
            request.started = true;
            return number;
        }
        if (!request.traits.idempotent)
            return std::nullopt;
        ++number;
    }
    return std::nullopt;
}

void RequestPipeline::postpone(Number number)
{
    if (auto* request = find(number)) {
        request->started = false;
        request->traits.complete = false;
    }
}

void RequestPipeline::finishFront()
{
    TARRAGONHAVEN_CHECK(!m_requests.empty() && m_requests.front().started,
        "a response is finished for the request at the front");
    m_requests.pop_front();
    ++m_frontNumber;
}

std::vector<RequestPipeline::Number> RequestPipeline::closeAfter(Number number)
{
    endReading();
    std::vector<Number> dropped;
    while (!m_requests.empty() && endNumber() - 1 > number) {
        dropped.push_back(endNumber() - 1);
        m_requests.pop_back();
    }
    std::reverse(dropped.begin(), dropped.end());
    return dropped;
}

bool RequestPipeline::isFront(Number number) const { return !empty() && number == m_frontNumber; }

bool RequestPipeline::isLast(Number number) const { return !empty() && number == endNumber() - 1; }

bool RequestPipeline::closesAfterFront() const
{
    return m_requests.size() == 1 && (m_readingEnded || m_stopping);
}

} // namespace tarragonhaven

#pragma once

namespace tarragonhaven {

// The requests of one kind that an entry received.
struct KindDemand {
    double requestsPerSecond = 0;
    // The mean size of the bodies of a request and its response.
    double megabytes = 0;
};

} // namespace tarragonhaven

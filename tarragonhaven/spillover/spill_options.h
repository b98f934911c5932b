#pragma once

#include <compare>

namespace tarragonhaven {

// What an operator may set about spill-over to other data centres.
struct SpillOptions {
    // Whether the data centre of a first attempt is drawn from a plan.
    bool enabled = false;
    // The price of a megabyte that crosses between data centres, as the wait that it is worth. With the
    // default a request of 64 KiB leaves if that saves 3 ms beyond the round trip, and one of 8 MB if it
    // saves 400 ms.
    double secondsPerMegabyte = 0.05;

    friend auto operator<=>(const SpillOptions&, const SpillOptions&) = default;
    friend bool operator==(const SpillOptions&, const SpillOptions&) = default;
};

} // namespace tarragonhaven

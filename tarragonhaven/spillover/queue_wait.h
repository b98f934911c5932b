#pragma once

namespace tarragonhaven {

// Expected waits for one of `slots` slots that serve a common stream of requests, each of which holds a slot
// for `holdSeconds` on average. `load` is the demand as a multiple of what the slots serve.

// Returns the mean wait in seconds, at most four hold times: queues refuse what would wait longer.
double expectedWait(double load, double slots, double holdSeconds);

// Returns the highest load, 0.5 to 0.95, at which the mean wait is at most `waitSeconds`. More slots sustain
// a higher load at the same wait.
double sustainableLoad(double slots, double holdSeconds, double waitSeconds);

} // namespace tarragonhaven

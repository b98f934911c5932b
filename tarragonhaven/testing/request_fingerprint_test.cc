#include "tarragonhaven/request_fingerprint.h"

#include <catch2/catch.hpp>
#include <set>

namespace tarragonhaven::testing {

TEST_CASE("requests have the same fingerprint if organisation, service, method, path and body are the same")
{
    const RequestHead head { "POST", "/a?b=c", { { "Request-Id", "1" } }, true, 4, "h1" };
    const RequestHead again { "POST", "/a?b=c", { { "Request-Id", "2" } }, true, -1, "h2" };
    const auto fingerprint = fingerprintOf({ "s" }, { "o" }, head, "body");
    CHECK(fingerprint.known());
    CHECK(fingerprintOf({ "s" }, { "o" }, again, "body") == fingerprint);
    std::set<RequestFingerprint> others { fingerprint };
    const RequestHead get { "GET", "/a?b=c", {}, false, -1 };
    const RequestHead otherPath { "POST", "/a?b=d", {}, true, 4 };
    others.insert(fingerprintOf({ "s2" }, { "o" }, head, "body"));
    others.insert(fingerprintOf({ "s" }, { "o2" }, head, "body"));
    others.insert(fingerprintOf({ "so" }, { "" }, head, "body"));
    others.insert(fingerprintOf({ "s" }, { "o" }, get, "body"));
    others.insert(fingerprintOf({ "s" }, { "o" }, otherPath, "body"));
    others.insert(fingerprintOf({ "s" }, { "o" }, head, "body2"));
    others.insert(fingerprintOf({ "s" }, { "o" }, head, ""));
    CHECK(others.size() == 8);
}

TEST_CASE("the fingerprint of a long body covers its beginning and its announced length")
{
    const RequestHead head { "PUT", "/a", {}, true, 100'000 };
    const RequestHead longer { "PUT", "/a", {}, true, 100'001 };
    const std::string beginning(fingerprintBodyBytes, 'x');
    const auto fingerprint = fingerprintOf({ "s" }, { "o" }, head, beginning + "a");
    CHECK(fingerprintOf({ "s" }, { "o" }, head, beginning + "bcd") == fingerprint);
    CHECK(fingerprintOf({ "s" }, { "o" }, longer, beginning + "a") != fingerprint);
    CHECK(fingerprintOf({ "s" }, { "o" }, head, "y" + beginning) != fingerprint);
    CHECK(fingerprintOf({ "s" }, { "o" }, head, beginning) != fingerprint);
}

} // namespace tarragonhaven::testing

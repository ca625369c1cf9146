#include "quarantine/requestfingerprint.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(RequestFingerprintTest)

BOOST_AUTO_TEST_CASE(everyFieldChangesTheFingerprint)
{
    const FingerprintSource source{
        .team = "team", .method = "POST", .host = "app.example", .target = "/drafts/9?page=2", .body = "Is block 9 free?"};
    std::vector<FingerprintSource> others(5, source);
    others[0].team = "other";
    others[1].method = "PUT";
    others[2].host = "app2.example";
    others[3].target = "/drafts/9?page=3";
    others[4].body = "Is block 8 free?";
    BOOST_TEST((RequestFingerprint::of(source) == RequestFingerprint::of(source)));
    for (const FingerprintSource &other : others) {
        BOOST_TEST((RequestFingerprint::of(source) != RequestFingerprint::of(other)));
    }
    BOOST_TEST(RequestFingerprint::of(source).addressHash() == RequestFingerprint::addressHash(source));
}

// A caller adds a query that bypasses caches, or uses another name of the host. The core fingerprint is still the same.
BOOST_AUTO_TEST_CASE(theCoreOmitsQueryAndHostName)
{
    const FingerprintSource source{
        .team = "team", .method = "POST", .host = "app.example", .target = "/drafts/9?page=2", .body = "Is block 9 free?"};
    FingerprintSource again = source;
    again.host = "app2.example";
    again.target = "/drafts/9?page=3";
    BOOST_TEST((RequestFingerprint::ofCore(source) == RequestFingerprint::ofCore(again)));
    BOOST_TEST(RequestFingerprint::addressHash(source) == RequestFingerprint::addressHash(again));
    BOOST_TEST((fingerprintsOf(source).front() == RequestFingerprint::ofCore(again)));
    BOOST_TEST((fingerprintsOf(source).back() != RequestFingerprint::of(again)));
    std::vector<FingerprintSource> others(3, source);
    others[0].team = "other";
    others[1].target = "/drafts/8?page=2";
    others[2].body = "Is block 8 free?";
    for (const FingerprintSource &other : others) {
        BOOST_TEST((RequestFingerprint::ofCore(source) != RequestFingerprint::ofCore(other)));
    }
    BOOST_TEST((RequestFingerprint::ofCore({.team = "t"}) != RequestFingerprint::of({.team = "t"})));
}

// Guards against a team that moves characters from one field to the next until its request has the fingerprint of another one.
BOOST_AUTO_TEST_CASE(fieldsDoNotRunTogether)
{
    BOOST_TEST((RequestFingerprint::of({.team = "ab", .method = "c"}) != RequestFingerprint::of({.team = "a", .method = "bc"})));
}

BOOST_AUTO_TEST_CASE(textIsReadBack)
{
    const RequestFingerprint fingerprint = RequestFingerprint::of({.team = "team"});
    BOOST_TEST((RequestFingerprint::fromText(fingerprint.text()) == fingerprint));
    BOOST_TEST((RequestFingerprint::fromBytes(fingerprint.bytes()) == fingerprint));
    for (const std::string &corrupt :
         {std::string(), std::string("12"), std::string(48, 'g'), std::string(48, 'A'), fingerprint.text() + "00", std::string(24, '\0')}) {
        BOOST_TEST(!RequestFingerprint::fromText(corrupt).has_value());
    }
    BOOST_TEST(!RequestFingerprint::fromBytes("short").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

#include "failure/failure.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(FailureTest)

BOOST_AUTO_TEST_CASE(travelsInAStatus)
{
    const Failure failure{
        .kind = FailureKind::BudgetExhausted, .detail = "two\nlines", .executed = Executed::Unknown, .retryAfterMs = 1500};
    const Failure again = toFailure(toStatus(failure));
    BOOST_TEST((again.kind == failure.kind));
    BOOST_TEST(again.detail == failure.detail);
    BOOST_TEST((again.executed == failure.executed));
    BOOST_TEST(again.retryAfterMs.value() == 1500);
    BOOST_TEST(!toFailure(failed(FailureKind::NotFound, "x")).retryAfterMs.has_value());
}

BOOST_AUTO_TEST_CASE(everyKindHasAUniqueName)
{
    std::set<std::string_view> names;
    for (int kind = 0; kind <= static_cast<int>(FailureKind::Cancelled); ++kind) {
        names.insert(failureName(static_cast<FailureKind>(kind)));
    }
    BOOST_TEST(names.size() == static_cast<std::size_t>(FailureKind::Cancelled) + 1);
}

BOOST_AUTO_TEST_CASE(aStatusWithoutPayloadLeavesTheExecutionUnknown)
{
    BOOST_TEST((toFailure(absl::InternalError("x")).executed == Executed::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

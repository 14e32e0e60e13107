#define BOOST_TEST_MODULE carawayshelf
#include <boost/test/included/unit_test.hpp>

#include <cstdlib>

namespace
{

/** Fixes RapidCheck's seed, so that every run tests the same; set RC_PARAMS for another. */
struct fixed_seed
{
    fixed_seed()
    {
        ::setenv("RC_PARAMS", "seed=20261204", 0);
    }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(fixed_seed);

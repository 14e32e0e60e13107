#define BOOST_TEST_MODULE carawayshelf
#include <boost/test/included/unit_test.hpp>

#define BOOST_TEST_MODULE crocuslever
#include <boost/test/unit_test.hpp>

// Processes that the emulator starts.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Emulator/NodeProcess.h"

namespace
{

using namespace pollenyoke;
using emulator::node_process;

class node_process_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(node_process_test);
  CPPUNIT_TEST(memory_of_the_starter_is_not_counted);
  CPPUNIT_TEST(program_that_cannot_run_ends);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against processes that are reported over their memory limit because of what the
  // emulator itself uses: soak, seeds 48006 and 48025.
  void memory_of_the_starter_is_not_counted()
  {
    constexpr std::uint64_t ballast_bytes = 256U << 20U;
    const std::vector<char> ballast(ballast_bytes, 'x');
    for (int i = 0; i < 20; ++i)
    {
      node_process process({"/bin/sleep", "60"}, "/dev/null");
      CPPUNIT_ASSERT(process.start().has_value());
      CPPUNIT_ASSERT(process.resident_bytes() < ballast_bytes / 4);
    }
    CPPUNIT_ASSERT_EQUAL('x', ballast.back());
  }

  void program_that_cannot_run_ends()
  {
    node_process process({"/nonexistent"}, "/dev/null");
    CPPUNIT_ASSERT(process.start().has_value());
    std::optional<std::string> end;
    while (!(end = process.poll_end()))
    {
    }
    CPPUNIT_ASSERT_EQUAL(std::string("status 127"), *end);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(node_process_test, "Emulator.NodeProcess");

} // namespace

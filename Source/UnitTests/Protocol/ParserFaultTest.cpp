#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Protocol/LogRecord.h"
#include "Protocol/ReleaseNote.h"
#include "Protocol/Settings.h"

namespace
{

using namespace pollenyoke::protocol;

/// Faults of the parsers that fuzzing or review has found.
class parser_fault_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(parser_fault_test);
  CPPUNIT_TEST(yaml_aliases_do_not_multiply);
  CPPUNIT_TEST(settings_errors_are_one_line);
  CPPUNIT_TEST(log_records_hold_unsigned_numbers);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a small release note whose aliases expand to billions of nodes.
  void yaml_aliases_do_not_multiply()
  {
    std::string text = "a0: &a0 [x, x, x, x, x, x, x, x, x]\n";
    for (int level = 1; level < 9; ++level)
    {
      const std::string alias = "*a" + std::to_string(level - 1);
      text += "a" + std::to_string(level) + ": &a" + std::to_string(level) + " [" + alias;
      for (int i = 0; i < 8; ++i)
      {
        text += ", " + alias;
      }
      text += "]\n";
    }
    const auto note = parse_release_note(text);
    CPPUNIT_ASSERT(!note);
    CPPUNIT_ASSERT_EQUAL(std::string("release note: too many nodes"), note.error().message);
  }

  // Guards against error messages that a key with a line break spreads over several lines.
  void settings_errors_are_one_line()
  {
    const auto parsed = parse_settings("role: agent\n\"a\\nb\\tc\": 1\n", "f");
    CPPUNIT_ASSERT(!parsed);
    const auto unknown = parse_settings("\"a\\nb\": 1\n", "f");
    CPPUNIT_ASSERT(!unknown);
    for (const std::string& message : {parsed.error().message, unknown.error().message})
    {
      CPPUNIT_ASSERT_MESSAGE(message, message.find('\n') == std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(message, message.find('\t') == std::string::npos);
    }
  }

  // Guards against numbers that are cut off or wrapped around when a record is read: the conversion
  // of 1e300 is undefined.
  void log_records_hold_unsigned_numbers()
  {
    const std::string head = R"({"id":"a","kind":"placement","stripes":[],"release":{"model":"m",)";
    CPPUNIT_ASSERT(parse_log_record(head + R"("note":1}})"));
    for (const char* number : {"1e300", "-1", "1.5", "\"1\"", "18446744073709551616"})
    {
      CPPUNIT_ASSERT_MESSAGE(number,
                             !parse_log_record(head + R"("note":)" + std::string(number) + "}}"));
    }
    const std::string claim =
        R"({"id":"a","kind":"origin_claim","release":{"note":1,"model":"m"},"bytes":1,)"
        R"("previous":{"host":"h","incarnation":5},"claimer":{"host":"g","incarnation":6},"stripe":)";
    CPPUNIT_ASSERT(parse_log_record(claim + "3}"));
    CPPUNIT_ASSERT(!parse_log_record(claim + "4294967296}"));
    const std::string back =
        R"({"id":"a","kind":"origin_return","release":{"note":1,"model":"m"},"grant":2,)"
        R"("holder":{"host":"h","incarnation":5},"stripe":3,"bytes":)";
    CPPUNIT_ASSERT(parse_log_record(back + "9}"));
    CPPUNIT_ASSERT(!parse_log_record(back + "-9}"));
    CPPUNIT_ASSERT(!parse_log_record(back + "9.5}"));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(parser_fault_test, "Protocol.Faults");

} // namespace

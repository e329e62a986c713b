#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Peers/KeyOwner.h"

namespace
{

using namespace pollenyoke::peers;
using std::chrono::milliseconds;
using time_point = key_owner::time_point;

class key_owner_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(key_owner_test);
  CPPUNIT_TEST(processes_with_the_same_view_name_the_same_owner);
  CPPUNIT_TEST(owner_settles_after_its_start);
  CPPUNIT_TEST(successor_waits_until_all_know);
  CPPUNIT_TEST(owner_gives_way_at_once);
  CPPUNIT_TEST(process_that_stood_still_settles_anew);
  CPPUNIT_TEST(leaving_process_owns_nothing);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<peer_record> entries(const std::vector<std::string>& ips)
  {
    std::vector<peer_record> out;
    out.reserve(ips.size());
    for (const std::string& ip : ips)
    {
      out.push_back({.ip = ip});
    }
    return out;
  }

  static void observe(key_owner& view, const std::vector<std::string>& ips, time_point from,
                      milliseconds length)
  {
    const auto live = entries(ips);
    for (time_point now = from; now <= from + length; now += milliseconds(500))
    {
      view.observe(live, now);
    }
  }

  /// A key that belongs to the first of these entries.
  static std::string key_of(const std::string& owner, const std::vector<std::string>& ips)
  {
    key_owner view(owner);
    view.observe(entries(ips), time_point{});
    std::string key = "k";
    while (view.owner(key) != owner)
    {
      key += "k";
    }
    return key;
  }

  const std::vector<std::string> m_all{"10.0.0.1", "10.0.0.2", "10.0.0.3"};
  const time_point m_start = time_point{} + milliseconds(60000);

public:
  void processes_with_the_same_view_name_the_same_owner()
  {
    key_owner first("10.0.0.1");
    key_owner second("10.0.0.2");
    observe(first, m_all, m_start, milliseconds(2500));
    observe(second, m_all, m_start, milliseconds(2500));
    for (const char* key : {"i-1", "i-2", "i-3", "i-4", "i-5"})
    {
      CPPUNIT_ASSERT_EQUAL(first.owner(key), second.owner(key));
      CPPUNIT_ASSERT_EQUAL(first.owner(key) == "10.0.0.1",
                           first.is_settled(key, m_start + milliseconds(2500)));
    }
  }

  void owner_settles_after_its_start()
  {
    key_owner view("10.0.0.1");
    const std::string key = key_of("10.0.0.1", m_all);
    observe(view, m_all, m_start, milliseconds(1500));
    CPPUNIT_ASSERT(!view.is_settled(key, m_start + milliseconds(1500)));
    observe(view, m_all, m_start + milliseconds(2000), milliseconds(0));
    CPPUNIT_ASSERT(view.is_settled(key, m_start + milliseconds(2000)));
  }

  /// Guards against two entries that issue permits for the same server.
  void successor_waits_until_all_know()
  {
    const std::string key = key_of("10.0.0.3", m_all);
    const std::vector<std::string> rest{"10.0.0.1", "10.0.0.2"};
    key_owner first("10.0.0.1");
    observe(first, m_all, m_start, milliseconds(4000));
    const time_point gone = m_start + milliseconds(4500);
    observe(first, rest, gone, milliseconds(0));
    const std::string successor = first.owner(key);
    key_owner view(successor);
    observe(view, m_all, m_start, milliseconds(4000));
    observe(view, rest, gone, milliseconds(1000));
    CPPUNIT_ASSERT(!view.is_settled(key, gone + milliseconds(1000)));
    observe(view, rest, gone + milliseconds(1500), milliseconds(1000));
    CPPUNIT_ASSERT(view.is_settled(key, gone + milliseconds(2500)));
  }

  void owner_gives_way_at_once()
  {
    const std::string key = key_of("10.0.0.3", m_all);
    const std::vector<std::string> before{"10.0.0.1", "10.0.0.2"};
    key_owner view("10.0.0.1");
    view.observe(entries(before), m_start);
    const std::string earlier = view.owner(key);
    key_owner owner(earlier);
    observe(owner, before, m_start, milliseconds(3000));
    CPPUNIT_ASSERT(owner.is_settled(key, m_start + milliseconds(3000)));
    owner.observe(entries(m_all), m_start + milliseconds(3100));
    CPPUNIT_ASSERT(!owner.is_settled(key, m_start + milliseconds(3100)));
  }

  /// Others may have taken over meanwhile.
  void process_that_stood_still_settles_anew()
  {
    key_owner view("10.0.0.1");
    const std::string key = key_of("10.0.0.1", m_all);
    observe(view, m_all, m_start, milliseconds(3000));
    const time_point awake = m_start + milliseconds(8000);
    CPPUNIT_ASSERT(!view.is_settled(key, awake));
    view.observe(entries({"10.0.0.1"}), awake);
    CPPUNIT_ASSERT(!view.is_settled(key, awake));
  }

  void leaving_process_owns_nothing()
  {
    key_owner view("10.0.0.1");
    const std::string key = key_of("10.0.0.1", m_all);
    observe(view, m_all, m_start, milliseconds(3000));
    view.observe(entries({"10.0.0.2", "10.0.0.3"}), m_start + milliseconds(3200));
    CPPUNIT_ASSERT(view.owner(key) != "10.0.0.1");
    CPPUNIT_ASSERT(!view.is_settled(key, m_start + milliseconds(3200)));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(key_owner_test, "Peers.KeyOwner");

} // namespace

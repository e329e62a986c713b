#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "Fleet/FleetState.h"
#include "Protocol/LogRecord.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::fleet;
using namespace pollenyoke::protocol;

release_item item(const std::string& model, const std::string& version,
                  const std::string& weights = "w")
{
  release_item out;
  out.model = model;
  out.version = version;
  out.manifest = sha256(weights);
  out.bytes = 1000;
  out.services = {"assistant"};
  return out;
}

release_note note(std::uint64_t head, std::vector<release_item> add,
                  std::vector<release_item> change = {}, std::vector<model_version> withdraw = {})
{
  return {"n", log_offset{head}, std::move(add), std::move(change), std::move(withdraw)};
}

stripe_holder holder(const std::string& host, std::uint64_t incarnation = 1)
{
  return {host_id{host}, incarnation_id{incarnation}};
}

/// A state with the offsets counted on.
class stream
{
public:
  stream& add(const record_body& body, std::string id = "")
  {
    id = id.empty() ? "id" + std::to_string(m_next) : id;
    return add_text(format_log_record({id, body}));
  }

  stream& add_text(const std::string& text)
  {
    apply(state, {log_offset{m_next++}, 0, text});
    return *this;
  }

  fleet_state state;

private:
  std::uint64_t m_next = 1;
};

/// Any record over few names and offsets, so that conflicts are frequent.
record_body any_body(std::uint64_t end)
{
  const auto name = []
  {
    return *rc::gen::element<std::string>("a", "b");
  };
  const auto offset = [end]
  {
    return log_offset{*rc::gen::inRange<std::uint64_t>(0, end + 2)};
  };
  const auto someone = [&name]
  {
    return holder(name(), *rc::gen::inRange<std::uint64_t>(1, 3));
  };
  switch (*rc::gen::inRange(0, 9))
  {
  case 0:
  case 1:
    return note(offset().value, {item(name(), name(), name())});
  case 2:
    return note(offset().value, {}, {item(name(), name(), name())});
  case 3:
    return note(offset().value, {}, {}, {{name(), name()}});
  case 4:
    return placement_record{{offset(), name()}, {someone(), someone()}};
  case 5:
    return origin_claim_record{{offset(), name()},
                               *rc::gen::inRange<std::uint32_t>(0, 3),
                               someone(),
                               someone(),
                               *rc::gen::inRange<std::uint64_t>(0, 400)};
  case 6:
    return origin_return_record{{offset(), name()},
                                *rc::gen::inRange<std::uint32_t>(0, 3),
                                offset(),
                                someone(),
                                *rc::gen::inRange<std::uint64_t>(0, 400)};
  case 7:
    return stop_record{host_id{name()}, *rc::gen::arbitrary<bool>()};
  default:
    return checkpoint_record{offset(), {}, ""};
  }
}

/// A stream in which notes are written against the true head half of the time.
void add_any(stream& to)
{
  record_body body = any_body(to.state.offset.value);
  if (auto* release = std::get_if<release_note>(&body); release && *rc::gen::arbitrary<bool>())
  {
    release->head = to.state.head;
  }
  const std::string id = "id" + std::to_string(*rc::gen::inRange(0, 1000));
  to.add(body, id);
}

class fleet_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(fleet_test);
  CPPUNIT_TEST(one_of_two_racing_notes_is_accepted);
  CPPUNIT_TEST(add_change_and_withdraw);
  CPPUNIT_TEST(replaced_versions_are_told_from_withdrawn_ones);
  CPPUNIT_TEST(adding_a_version_again);
  CPPUNIT_TEST(first_placement_of_a_release_in_force_wins);
  CPPUNIT_TEST(claims_need_the_holder_and_the_budget);
  CPPUNIT_TEST(claimable_bytes_follow_the_limit);
  CPPUNIT_TEST(grants_are_returned_at_most_once);
  CPPUNIT_TEST(stops_config_and_second_copies);
  CPPUNIT_TEST(records_that_do_not_parse_are_skipped);
  CPPUNIT_TEST(nothing_accepted_is_reverted);
  CPPUNIT_TEST(origin_budget_is_never_exceeded);
  CPPUNIT_TEST(fold_goes_on_from_a_checkpoint);
  CPPUNIT_TEST(malformed_states_are_refused);
  CPPUNIT_TEST_SUITE_END();

  // Guards against two operators both believing that their note is in effect.
  void one_of_two_racing_notes_is_accepted()
  {
    stream s;
    s.add(note(0, {item("m", "1")})).add(note(0, {item("m", "2")}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, s.state.head.value);
    CPPUNIT_ASSERT(s.state.notes.at(0).accepted);
    CPPUNIT_ASSERT(!s.state.notes.at(1).accepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, s.state.notes.at(1).head.value);
    CPPUNIT_ASSERT(s.state.find("m", "1") != nullptr && s.state.find("m", "2") == nullptr);
    s.add(note(1, {item("m", "2"), item("m", "3")}));
    CPPUNIT_ASSERT_EQUAL(std::string("names two versions of model m"), s.state.notes.at(2).reason);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, s.state.head.value);
  }

  void add_change_and_withdraw()
  {
    stream s;
    s.add(note(0, {item("m", "1"), item("other", "1")})).add(note(1, {item("m", "2")}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, s.state.releases_for("assistant").size());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), s.state.newest("m")->item.version);
    s.add(note(2, {}, {item("m", "3")}));
    CPPUNIT_ASSERT(!s.state.find("m", "1") && !s.state.find("m", "2") && s.state.find("m", "3"));
    s.add(note(3, {}, {}, {{"m", "3"}, {"m", "unknown"}}));
    CPPUNIT_ASSERT(s.state.notes.back().accepted);
    CPPUNIT_ASSERT(s.state.newest("m") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, s.state.releases.size());
  }

  // Guards against a gap in service while a change spreads, and against serving withdrawn versions.
  void replaced_versions_are_told_from_withdrawn_ones()
  {
    stream s;
    s.add(note(0, {item("m", "1")})).add(note(1, {}, {item("m", "2")}));
    CPPUNIT_ASSERT(s.state.is_replaced("m", "1") && !s.state.is_replaced("m", "2"));
    CPPUNIT_ASSERT(from_json(to_json(s.state))->is_replaced("m", "1"));
    s.add(note(2, {}, {item("m", "3")}, {{"m", "1"}}));
    CPPUNIT_ASSERT(!s.state.is_replaced("m", "1") && s.state.is_replaced("m", "2"));
    s.add(note(3, {item("m", "2")}));
    CPPUNIT_ASSERT(!s.state.is_replaced("m", "2"));
    for (const char* version : {"4", "5", "6", "7", "8", "9"})
    {
      s.add(note(s.state.head.value, {}, {item("m", version)}));
    }
    CPPUNIT_ASSERT_EQUAL(max_replaced, s.state.replaced.size());
    CPPUNIT_ASSERT(s.state.is_replaced("m", "8") && !s.state.is_replaced("m", "4"));
    s.add(note(s.state.head.value, {}, {}, {{"m", "9"}}));
    CPPUNIT_ASSERT(s.state.replaced.empty());
  }

  // Guards against a second transfer, and a second origin budget, for weights that are in force.
  void adding_a_version_again()
  {
    stream s;
    s.add(note(0, {item("m", "1")}));
    s.add(placement_record{{log_offset{1}, "m"}, {holder("h")}});
    release_item again = item("m", "1");
    again.replicas = 7;
    s.add(note(1, {again}));
    const active_release* same = s.state.find("m", "1");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, same->fence().value);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{7}, same->item.replicas);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, same->origin.holders.size());
    s.add(note(3, {}, {item("m", "1", "other weights")}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, s.state.find("m", "1")->fence().value);
    CPPUNIT_ASSERT(s.state.find("m", "1")->origin.holders.empty());
  }

  void first_placement_of_a_release_in_force_wins()
  {
    stream s;
    s.add(note(0, {item("m", "1")}));
    s.add(placement_record{{log_offset{9}, "m"}, {holder("unknown-release")}});
    s.add(placement_record{{log_offset{1}, "m"}, {}});
    s.add(placement_record{{log_offset{1}, "m"}, {holder("first")}});
    s.add(placement_record{{log_offset{1}, "m"}, {holder("second")}});
    const origin_budget& origin = s.state.find("m", "1")->origin;
    CPPUNIT_ASSERT(origin.holders == std::vector<stripe_holder>{holder("first")});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, origin.holder_since.at(0).value);
  }

  void claims_need_the_holder_and_the_budget()
  {
    const release_key key{log_offset{1}, "m"};
    const auto claim = [&](std::uint32_t stripe, const char* from, const char* to, int bytes)
    {
      return origin_claim_record{key, stripe, holder(from), holder(to),
                                 static_cast<std::uint64_t>(bytes)};
    };
    stream s;
    s.add(note(0, {item("m", "1")})).add(claim(0, "a", "b", 10));
    s.add(placement_record{key, {holder("a"), holder("a")}});
    s.add(claim(0, "wrong", "b", 10)).add(claim(2, "a", "b", 10)).add(claim(0, "a", "b", 501));
    s.add(claim(0, "a", "b", 0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, s.state.find("m", "1")->origin.claimed_bytes);
    // Two hosts claim the same stripe: the second one's previous holder is no longer the holder.
    s.add(claim(0, "a", "b", 300)).add(claim(0, "a", "c", 100));
    const origin_budget& origin = s.state.find("m", "1")->origin;
    CPPUNIT_ASSERT(origin.holders.at(0) == holder("b"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, origin.holder_since.at(0).value);
    // The limit of 1.5 copies leaves 500 bytes in all.
    s.add(claim(0, "b", "b", 201)).add(claim(1, "a", "d", 200)).add(claim(1, "d", "d", 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{500}, origin.claimed_bytes);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, claimable_bytes(*s.state.find("m", "1")));
  }

  void claimable_bytes_follow_the_limit()
  {
    const auto claimable = [](double limit, std::uint64_t claimed, std::uint64_t returned)
    {
      active_release release;
      release.item.bytes = 100;
      release.item.origin_limit_copies = limit;
      release.origin.claimed_bytes = claimed;
      release.origin.placement_returned_bytes = returned;
      return claimable_bytes(release);
    };
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{50}, claimable(1.5, 0, 0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, claimable(1.5, 50, 0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, claimable(0.5, 0, 0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{30}, claimable(1.0, 10, 40));
  }

  // Guards against a return that counts twice, counts more than was granted, or is taken from a
  // host that does not hold the grant; also with a checkpoint between the two copies.
  void grants_are_returned_at_most_once()
  {
    const release_key key{log_offset{1}, "m"};
    const auto back =
        [&](std::uint32_t stripe, std::uint64_t grant, const char* host, std::uint64_t bytes)
    {
      return origin_return_record{key, stripe, log_offset{grant}, holder(host), bytes};
    };
    stream s;
    s.add(note(0, {item("m", "1")})).add(placement_record{key, {holder("a"), holder("b")}});
    s.add(origin_claim_record{key, 0, holder("a"), holder("c"), 300});
    // The wrong stripe, grant, host and size, and a release that is not in force.
    s.add(back(1, 3, "c", 1)).add(back(0, 2, "c", 1)).add(back(0, 3, "a", 1));
    s.add(back(0, 3, "c", 301)).add(back(0, 2, "a", 1001));
    s.add(origin_return_record{{log_offset{7}, "m"}, 0, log_offset{3}, holder("c"), 1});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, claimable_bytes(*s.state.find("m", "1")));
    s.add(back(0, 3, "c", 250)).add(back(0, 2, "a", 600));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1050}, claimable_bytes(*s.state.find("m", "1")));
    s.state = *from_json(nlohmann::json::parse(to_json(s.state).dump()));
    s.add(back(0, 3, "c", 50)).add(back(0, 2, "a", 100));
    // The first copy has 1,000 bytes in all.
    s.add(back(1, 2, "b", 401));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1050}, claimable_bytes(*s.state.find("m", "1")));
    s.add(back(1, 2, "b", 400));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1450}, claimable_bytes(*s.state.find("m", "1")));
    CPPUNIT_ASSERT(s.state.find("m", "1")->origin.grants.empty());
    nlohmann::json bad = to_json(s.state);
    bad["releases"][0]["placement_returned_bytes"] = 1001;
    CPPUNIT_ASSERT(!from_json(bad));
  }

  void stops_config_and_second_copies()
  {
    stream s;
    s.add(stop_record{host_id{"h"}, false}).add(stop_record{host_id{"i"}, false});
    s.add(stop_record{host_id{"h"}, true}, "cancel").add(stop_record{host_id{"h"}, false}, "again");
    // A late second copy of the cancellation must not cancel the newer stop.
    s.add(stop_record{host_id{"h"}, true}, "cancel");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, s.state.planned_stops.at(host_id{"h"}).value);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, s.state.planned_stops.size());
    s.add(config_record{"k", "v"}).add(config_record{"l", "v"}).add(config_record{"l", ""});
    CPPUNIT_ASSERT_EQUAL(std::string("v"), s.state.config.at("k"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, s.state.config.size());
  }

  // Guards against processes that differ in what they skip, and against a record that stops all.
  void records_that_do_not_parse_are_skipped()
  {
    stream s;
    s.add(note(0, {item("m", "1")}));
    const fleet_state before = s.state;
    const std::vector<std::string> bad = {"",
                                          "null",
                                          "[]",
                                          "{\"id\":\"x\"}",
                                          "{\"id\":\"x\",\"kind\":\"unknown\"}",
                                          "{\"id\":7,\"kind\":\"config\"}",
                                          "\xff\xfe",
                                          format_log_record({"", config_record{"k", "v"}})};
    for (const std::string& text : bad)
    {
      s.add_text(text);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1 + bad.size()}, s.state.offset.value);
    s.state.offset = before.offset;
    CPPUNIT_ASSERT_EQUAL(to_hex(state_digest(before)), to_hex(state_digest(s.state)));
  }

  // Invariant I7, for any sequence of records.
  void nothing_accepted_is_reverted()
  {
    CPPUNIT_ASSERT(rc::check("a release stays in force until a later accepted note names its model",
                             []
                             {
                               stream s;
                               const int count = *rc::gen::inRange(1, 40);
                               for (int i = 0; i < count; ++i)
                               {
                                 const fleet_state before = s.state;
                                 add_any(s);
                                 RC_ASSERT(s.state.offset > before.offset);
                                 RC_ASSERT(s.state.head >= before.head);
                                 const bool accepted = s.state.head != before.head;
                                 if (accepted)
                                 {
                                   RC_ASSERT(s.state.head == s.state.offset);
                                   RC_ASSERT(s.state.notes.back().accepted);
                                 }
                                 for (const auto& [key, release] : before.releases)
                                 {
                                   RC_ASSERT(accepted || s.state.releases.contains(key));
                                 }
                                 for (std::size_t n = 0; n < before.notes.size(); ++n)
                                 {
                                   RC_ASSERT(s.state.notes[n].accepted == before.notes[n].accepted);
                                 }
                               }
                             }));
  }

  void origin_budget_is_never_exceeded()
  {
    CPPUNIT_ASSERT(rc::check(
        "the bytes of all granted claims stay within the limit",
        []
        {
          stream s;
          release_item weights = item("a", "a");
          weights.bytes = *rc::gen::inRange<std::uint64_t>(1, 2000);
          weights.origin_limit_copies = 1.0 + *rc::gen::inRange(0, 2000) / 1000.0;
          s.add(note(0, {weights}));
          const release_key key{log_offset{1}, "a"};
          s.add(placement_record{key, {holder("a"), holder("b")}});
          std::uint64_t granted = 0;
          const int count = *rc::gen::inRange(1, 40);
          for (int i = 0; i < count; ++i)
          {
            const origin_budget before = s.state.find("a", "a")->origin;
            const auto stripe = *rc::gen::inRange<std::uint32_t>(0, 2);
            const auto previous = *rc::gen::element(before.holders[0], before.holders[1]);
            const auto bytes = *rc::gen::inRange<std::uint64_t>(0, 600);
            s.add(origin_claim_record{key, stripe, previous,
                                      holder("c", static_cast<std::uint64_t>(i)), bytes});
            const origin_budget& after = s.state.find("a", "a")->origin;
            granted += after.holder_since != before.holder_since ? bytes : 0;
            RC_ASSERT(after.claimed_bytes == granted);
            RC_ASSERT(static_cast<double>(weights.bytes + granted) <=
                      weights.origin_limit_copies * static_cast<double>(weights.bytes) + 1e-9);
          }
        }));
  }

  // Guards against a process that started from a checkpoint and folds differently from then on.
  void fold_goes_on_from_a_checkpoint()
  {
    CPPUNIT_ASSERT(rc::check("a restored state folds the same",
                             []
                             {
                               stream s;
                               const int count = *rc::gen::inRange(0, 30);
                               for (int i = 0; i < count; ++i)
                               {
                                 add_any(s);
                               }
                               const auto restored =
                                   from_json(nlohmann::json::parse(to_json(s.state).dump()));
                               RC_ASSERT(restored.has_value());
                               stream other = s;
                               other.state = *restored;
                               const auto body = any_body(s.state.offset.value);
                               s.add(body, "next");
                               other.add(body, "next");
                               RC_ASSERT(state_digest(s.state) == state_digest(other.state));
                             }));
  }

  void malformed_states_are_refused()
  {
    stream s;
    s.add(note(0, {item("m", "1")}));
    CPPUNIT_ASSERT(!from_json(nlohmann::json::array()));
    for (const char* member : {"offset", "releases", "notes", "record_ids", "planned_stops"})
    {
      nlohmann::json broken = to_json(s.state);
      broken[member] = "text";
      CPPUNIT_ASSERT_MESSAGE(member, !from_json(broken));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(fleet_test, "Fleet");

} // namespace

#include <queue>
#include <random>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Routing/Admission.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::routing;
using std::chrono::duration;
using std::chrono::milliseconds;
using time_point = std::chrono::steady_clock::time_point;

constexpr std::uint32_t slots = 4;
constexpr std::size_t queue_limit = 64;
constexpr duration<double> run_time{0.2};
constexpr milliseconds deadline{1000};
/// Requests per second that the slots can serve.
const double capacity = slots / run_time.count();

time_point after(time_point from, duration<double> by)
{
  return from + std::chrono::duration_cast<std::chrono::steady_clock::duration>(by);
}

/// Simulates a backend server behind a fair queue in virtual time.
class server_model
{
public:
  explicit server_model(bool admission) : m_admission(admission) {}

  /// Requests per second that end before their deadline, for open-loop arrivals at this rate.
  double goodput(double rate, unsigned count)
  {
    std::mt19937_64 random(20261204);
    std::exponential_distribution<double> interarrival_time(rate);
    time_point now{};
    for (unsigned i = 0; i < count; ++i)
    {
      now = after(now, duration<double>(interarrival_time(random)));
      run_until(now);
      arrive(
          {.id = {{0, i}, 1}, .team = i % 8 == 0 ? "small" : "large", .deadline = now + deadline},
          now);
    }
    run_until(now + deadline);
    return m_completed_in_time / duration<double>(now.time_since_epoch()).count();
  }
  double small_team_share() const
  {
    return static_cast<double>(m_small_completed_in_time) / m_completed_in_time;
  }

private:
  void arrive(waiting_request request, time_point now)
  {
    if (!m_admission || !would_miss_deadline(m_queue, m_estimate, request, now))
    {
      m_queue.push(std::move(request), queue_limit);
    }
    dispatch(now);
  }
  void dispatch(time_point now)
  {
    m_queue.take_expired(now);
    while (m_running.size() < slots && m_queue.size() > 0)
    {
      const waiting_request next = *m_queue.pop();
      if (m_admission && m_queue.size() > 0 && is_too_late(m_estimate, next, now))
      {
        continue;
      }
      // A running request is aborted at its deadline.
      m_running.push({std::min(after(now, run_time), next.deadline), now, next});
    }
  }
  void run_until(time_point until)
  {
    while (!m_running.empty() && m_running.top().end <= until)
    {
      const running_request done = m_running.top();
      m_running.pop();
      if (done.end - done.begin >= run_time - milliseconds(1))
      {
        m_estimate.add(done.request.cost, done.end - done.begin);
        ++m_completed_in_time;
        m_small_completed_in_time += done.request.team == "small" ? 1 : 0;
      }
      dispatch(done.end);
    }
  }

  struct running_request
  {
    time_point end;
    time_point begin;
    waiting_request request;

    bool operator>(const running_request& other) const
    {
      return end > other.end;
    }
  };

  const bool m_admission;
  fair_queue m_queue;
  service_estimate m_estimate{slots};
  std::priority_queue<running_request, std::vector<running_request>, std::greater<>> m_running;
  unsigned m_completed_in_time = 0;
  unsigned m_small_completed_in_time = 0;
};

class admission_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(admission_test);
  CPPUNIT_TEST(overload_does_not_lower_goodput);
  CPPUNIT_TEST(small_team_keeps_share_under_overload);
  CPPUNIT_TEST(idle_server_admits_despite_high_estimate);
  CPPUNIT_TEST(estimate_is_proportional_to_cost);
  CPPUNIT_TEST_SUITE_END();

  // Guards against wasting slots on requests that are aborted at their deadline. Without admission
  // control, the goodput falls at twice the capacity.
  void overload_does_not_lower_goodput()
  {
    const double at_capacity = server_model(true).goodput(capacity, 4000);
    const double overloaded = server_model(true).goodput(2 * capacity, 8000);
    const double without_admission = server_model(false).goodput(2 * capacity, 8000);
    const std::string summary = "requests/s in time: " + std::to_string(at_capacity) +
                                " at capacity, " + std::to_string(overloaded) + " at twice, " +
                                std::to_string(without_admission) + " without admission";
    std::puts(summary.c_str());
    CPPUNIT_ASSERT_MESSAGE(summary, overloaded >= 0.9 * at_capacity);
    CPPUNIT_ASSERT_MESSAGE(summary, without_admission < overloaded);
  }

  // The small team sends an eighth of the requests, which is a quarter of the capacity and less
  // than its fair half, so that none of its requests has to be refused. At least 90% must end in
  // time.
  void small_team_keeps_share_under_overload()
  {
    server_model server(true);
    const double all = server.goodput(2 * capacity, 8000);
    CPPUNIT_ASSERT(server.small_team_share() * all >= 0.9 * 2 * capacity / 8);
  }

  void idle_server_admits_despite_high_estimate()
  {
    fair_queue queue;
    service_estimate high_estimate(slots);
    high_estimate.add(fair_quantum, std::chrono::seconds(100));
    const time_point now{std::chrono::seconds(10)};
    const waiting_request request{.id = {{0, 1}, 1}, .deadline = now + deadline};
    CPPUNIT_ASSERT(!would_miss_deadline(queue, high_estimate, request, now));
    queue.push({.id = {{0, 2}, 1}}, queue_limit);
    CPPUNIT_ASSERT(would_miss_deadline(queue, high_estimate, request, now));
  }

  void estimate_is_proportional_to_cost()
  {
    service_estimate estimate(slots);
    CPPUNIT_ASSERT_EQUAL(0.0, estimate.run_time(100).count());
    estimate.add(10, std::chrono::seconds(1));
    estimate.add(30, std::chrono::seconds(3));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, estimate.run_time(20).count(), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, estimate.wait_time(40).count(), 1e-9);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(admission_test, "RoutingAdmission");

} // namespace

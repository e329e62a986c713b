#include "Ctl/Publish.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "Ctl/FleetReader.h"

namespace pollenyoke::ctl
{

namespace
{

publish_report not_published(const error& reason)
{
  return {.outcome = publish_outcome::not_published, .reason = reason.message};
}

publish_report unknown(log_offset offset, const error& reason)
{
  return {.outcome = publish_outcome::unknown, .offset = offset, .reason = reason.message};
}

struct appended
{
  log_offset offset;
  fleet::fleet_state state;
};

/// Appends a record and folds the stream up to it. The error of a lost append is `timeout`.
result<appended> append_and_fold(log_follower::log_client& log, const fleet::fleet_state& before,
                                 const protocol::log_record& record,
                                 std::chrono::milliseconds patience)
{
  const auto stored = log.append_once(protocol::fleet_stream, record.id, format_log_record(record),
                                      before.offset, patience);
  if (!stored)
  {
    return tl::unexpected(stored.error());
  }
  auto state = read_fleet(log, before);
  if (!state)
  {
    // The record is in the log, but its outcome cannot be told now.
    return fail(error_code::timeout, state.error().message);
  }
  return appended{stored->offset, std::move(*state)};
}

publish_report report_failure(const error& reason)
{
  return reason.code == error_code::unavailable ? not_published(reason) : unknown({}, reason);
}

const fleet::note_outcome* find_note(const fleet::fleet_state& state, std::string_view record_id)
{
  const auto found =
      std::find_if(state.notes.begin(), state.notes.end(),
                   [&](const fleet::note_outcome& note) { return note.record_id == record_id; });
  return found == state.notes.end() ? nullptr : &*found;
}

publish_report rejected(const fleet::fleet_state& state, const fleet::note_outcome& note)
{
  publish_report report{.outcome = publish_outcome::rejected, .offset = note.offset};
  report.winner = note.head;
  for (const fleet::note_outcome& other : state.notes)
  {
    if (other.offset == note.head)
    {
      report.winner_name = other.name;
    }
  }
  report.reason = "another release note was accepted first";
  return report;
}

} // namespace

publish_report publish_note(const transport::endpoint& log, protocol::release_note note,
                            std::chrono::milliseconds patience)
{
  log_follower::log_client client(log);
  const auto before = read_fleet(client, {});
  if (!before)
  {
    return not_published(before.error());
  }
  if (note.head.value == 0)
  {
    note.head = before->head;
  }
  const protocol::log_record record{make_record_id(), std::move(note)};
  const auto done = append_and_fold(client, *before, record, patience);
  if (!done)
  {
    return report_failure(done.error());
  }
  const fleet::note_outcome* outcome = find_note(done->state, record.id);
  if (outcome == nullptr)
  {
    return unknown(done->offset, error{error_code::timeout, "the note is no longer in the state"});
  }
  if (!outcome->accepted)
  {
    return rejected(done->state, *outcome);
  }
  return {.outcome = publish_outcome::accepted, .offset = outcome->offset};
}

publish_report publish_stop(const transport::endpoint& log, const host_id& host, bool cancelled,
                            std::chrono::milliseconds patience)
{
  log_follower::log_client client(log);
  const auto before = read_fleet(client, {});
  if (!before)
  {
    return not_published(before.error());
  }
  const protocol::log_record record{make_record_id(), protocol::stop_record{host, cancelled}};
  const auto done = append_and_fold(client, *before, record, patience);
  if (!done)
  {
    return report_failure(done.error());
  }
  return {.outcome = publish_outcome::accepted, .offset = done->offset};
}

exit_status to_exit_status(publish_outcome outcome)
{
  switch (outcome)
  {
  case publish_outcome::accepted:
    return exit_ok;
  case publish_outcome::rejected:
    return exit_rejected;
  case publish_outcome::unknown:
    return exit_unknown;
  case publish_outcome::not_published:
    return exit_unavailable;
  }
  return exit_unknown;
}

namespace
{

std::string_view to_string(publish_outcome outcome)
{
  switch (outcome)
  {
  case publish_outcome::accepted:
    return "accepted";
  case publish_outcome::rejected:
    return "rejected";
  case publish_outcome::unknown:
    return "unknown";
  case publish_outcome::not_published:
    return "not published";
  }
  return "unknown";
}

} // namespace

std::string format_report(const publish_report& report)
{
  std::string text(to_string(report.outcome));
  if (report.offset.value != 0)
  {
    text += " at offset " + std::to_string(report.offset.value);
  }
  if (report.winner.value != 0)
  {
    text += "; in force: note '" + report.winner_name + "' at offset " +
            std::to_string(report.winner.value);
  }
  if (!report.reason.empty())
  {
    text += "; " + report.reason;
  }
  return text;
}

std::string format_report_json(const publish_report& report)
{
  return nlohmann::json{{"outcome", to_string(report.outcome)},
                        {"offset", report.offset.value},
                        {"winner", report.winner.value},
                        {"winner_name", report.winner_name},
                        {"reason", report.reason}}
      .dump();
}

} // namespace pollenyoke::ctl

/* Proof that the layers of an engine were taken from whole pieces (docs/design.md, section 6). A
 * mark is the start of an engine and the number of orders that it has accepted since. Layers change
 * with an accepted order or a restart only, so what is proven of a mark stays true.
 *
 * Model step              Function
 * Engine: accept          the engine's order queue; orders are accepted late or not at all
 * Agent: plan             rollout_agent::start_load_if_due, decide_load
 * Agent: order            rollout_agent::stage_piece, begin_check, confirm_engine, send_load_order.
 *                         One step: what happens between the check and the order may as well happen
 *                         before the engine accepts it
 * Agent: answer           rollout_agent::handle_order_answer
 * Agent: read back        rollout_agent::recheck_taken_piece
 * Agent: report           rollout_agent::publish_report
 * Agent: recall           an entry answers a report with the proof that it remembers
 * Entry: send             backend_table: choice by report; the engine checks id, version and layers
 * Faults: spoil, tick     a staged piece turns bad; the tolerance passes: a piece that was bad
 *                         before has been bad too long, a check that was begun before is too old
 * Faults: expire          the lifetime of reports passes: entries use none that was asked for
 *                         before, and requests that were sent by them have arrived
 *
 * -DBOUND: requests use connections that were open before the report was asked for.
 * -DSTRICT: a piece that a late write replaces by one of another version is bad at once. The
 * correct form does not hold then.
 *
 * Variants that the checker must reject:
 * BROKEN_REPEAT           an answer 200 proves the mark
 * BROKEN_TRUST            a restarted agent trusts the layers that the engine holds
 * BROKEN_READ             a restarted agent trusts the staged pieces that it reads back
 * BROKEN_VERSION          requests name no version
 * BROKEN_RECORD           an entry takes the store's record of an engine as proof
 * BROKEN_REREAD           pieces that are read back prove layers that an earlier order took
 * BROKEN_WRITE            pieces are read back while an earlier write of one may be on its way
 * BROKEN_RESTART          a restarted engine takes layers that reports of its last start name
 * BROKEN_RELOAD           a restarted agent takes layers again that reports of its last run name
 * BROKEN_NAMED            an agent takes layers again that its own reports name
 */
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef KILLS
#define KILLS 2
#endif
#ifndef STOPS
#define STOPS 2 /* restarts and kills together */
#endif
#ifndef ORDERS
#define ORDERS 3 /* orders that an engine accepts per start before the faults end */
#endif
#define NEWEST 2
#define ALL 3 /* layers are a set: bit 0 is the first, bit 1 the rest; each has one piece */
#define NONE 255

/* Engine. */
byte seq = 0, version = 0, held = 0;
byte bad = 0;   /* layers that were taken from bad pieces */
byte staged[2]; /* version of the piece; 0: missing */
byte spoilt[2]; /* 0: good, 1: bad, 2: bad for longer than the tolerance */

/* An order on its way. Its connection ends with the start that it was opened to. */
typedef order_t
{
  byte expected;
  byte version; /* 0: none */
  byte layers;
}
order_t own;  /* the order that the agent waits for */
order_t late; /* an order that its sender no longer waits for */
byte late_write = 0; /* version of a staged piece whose writer no longer waits, 0: none */
byte late_piece = 0;

/* Agent. */
#define IDLE 0
#define PLANNED 1
#define SENT 2
#define ACCEPTED 3
#define REPEATED 4
#define FAILED 5
byte order = IDLE;
byte taken = 0;           /* layers that the order takes */
bool check_valid = false; /* the check of the staged pieces is not too old yet */
byte wanted = 1;
/* Layers of a mark that are proven. */
byte known_seq = 0, known_version = 0, known_good = 0;
/* The mark after the last order of this process, if it has staged nothing since. */
byte reread_seq = NONE, reread_layers = 0;
bool writes_known = true; /* no write of a staged piece can be on its way */
bool restarted = false;
byte named = 0; /* layers that a report in use may name */

/* Entry: what it sends requests for, and the last proven mark. */
byte report_version = 0, report_held = 0;
byte memory_seq = NONE;

byte restarts = 0, kills = 0, calm_loads = 0;
bool calm = false;

#define readable(layers, v) \
  ((!((layers) & 1) || (staged[0] == v && spoilt[0] == 0)) && \
      (!((layers) & 2) || (staged[1] == v && spoilt[1] == 0)))
/* Too long bad, missing or of another version. */
#define unfit(layers, v) \
  (((((layers) & 1) && (staged[0] != v || spoilt[0] == 2)) -> 1 : 0) | \
      ((((layers) & 2) && (staged[1] != v || spoilt[1] == 2)) -> 2 : 0))
#define at_mark (known_seq == seq)
#define proven (at_mark && known_version == version && (held & (ALL - known_good)) == 0)
/* Layers of the same version are not taken again while requests for them may arrive. */
#define to_take (own.layers & (version == own.version -> ALL - held : ALL))
#define blocked ((version == 0 || version == own.version) && (to_take & named) != 0)
#define serves (proven && version == wanted && held == ALL)

inline clear(o)
{
  o.expected = 0;
  o.version = 0;
  o.layers = 0
}

inline accept(o, result)
{
  if
  :: version == o.version && held == o.layers -> result = REPEATED
  :: else ->
    if
    :: seq != o.expected -> result = FAILED
    :: else ->
      kept = (version == o.version -> held & o.layers : 0);
      bad = (bad & kept) | unfit(o.layers & (ALL - kept), o.version);
      version = o.version;
      held = o.layers;
      seq++;
      kept = 0;
      result = ACCEPTED
    fi
  fi
}

proctype Engine()
{
  byte kept, ignored;
end:
  do
  :: d_step { order == SENT -> accept(own, order) }
  :: d_step { late.version != 0 -> accept(late, ignored); ignored = 0; clear(late) }
  :: d_step { late.version != 0 -> clear(late) }
  :: d_step
    {
      late_write != 0 ->
      if
#ifndef STRICT
      /* The piece counts as one that turns bad. */
      :: staged[late_piece] != late_write && staged[late_piece] != 0 ->
        spoilt[late_piece] = (spoilt[late_piece] == 2 -> 2 : 1)
#endif
      :: else -> staged[late_piece] = late_write; spoilt[late_piece] = 0
      fi;
      late_write = 0;
      late_piece = 0
    }
  od
}

inline stage(pieces, content)
{
  if
  :: pieces & 1 -> staged[0] = content; spoilt[0] = 0
  :: else
  fi;
  if
  :: pieces & 2 -> staged[1] = content; spoilt[1] = 0
  :: else
  fi;
  reread_seq = NONE;
  reread_layers = 0
}

inline end_load()
{
  order = IDLE;
  taken = 0;
  check_valid = false;
  clear(own)
}

proctype Agent()
{
  byte layers = 0, number = 0;
end:
  do
  /* Layers that were kept by a single order after a known mark are still proven. */
  :: d_step
    {
      !at_mark ->
      if
      :: seq == 0 -> known_good = held
      :: seq != 0 && known_seq != NONE && known_seq + 1 == seq ->
        known_good = (known_version == version -> known_good & held : 0)
      :: else -> known_good = 0
      fi;
      known_seq = seq;
      known_version = version;
#ifdef BROKEN_TRUST
      known_good = (restarted -> held : known_good)
#endif
    }
  /* Plans to load the wanted version, the layers that lack, or unproven layers again: an order for
   * fewer layers drops the others. */
  :: d_step
    {
      order == IDLE && at_mark && !serves && (calm || seq < ORDERS) ->
      if
      :: version != wanted && held == 0 && !calm -> layers = 1 /* the first pieces are there */
      :: version != wanted -> layers = ALL
      :: version == wanted && proven -> layers = ALL
      :: version == wanted && !proven && known_good != 0 -> layers = known_good
      :: version == wanted && !proven && known_good == 0 ->
        layers = (held == ALL -> 1 : ALL - held)
      fi;
      if
      :: calm -> calm_loads++; assert(calm_loads < 8)
      :: else
      fi;
      own.version = wanted;
      own.layers = layers;
      order = PLANNED;
      layers = 0
    }
  /* Stages and checks the pieces, asks for a report and sends the order. */
  :: d_step
    {
      order == PLANNED && at_mark && !blocked ->
      layers = own.layers;
      number = own.version;
      stage(layers, number);
      layers = 0;
      number = 0;
      own.expected = seq;
      taken = to_take;
      reread_seq = seq + 1;
      reread_layers = taken;
      check_valid = true;
      order = SENT
    }
  /* A write of a piece that is not answered ends the load. */
  :: d_step
    {
      !calm && order == IDLE && late_write == 0 ->
      late_write = wanted;
      if
      :: late_piece = 0
      :: late_piece = 1
      fi;
      writes_known = false;
      reread_seq = NONE;
      reread_layers = 0
    }
  :: d_step
    {
      order > SENT ->
      if
#ifdef BROKEN_REPEAT
      :: order == REPEATED && check_valid && known_seq == own.expected && known_seq == seq ->
        known_good = known_good | own.layers
#endif
      :: order == ACCEPTED && check_valid ->
        if
        :: known_seq == own.expected ->
          known_good = ((known_version == own.version -> known_good : 0) & own.layers) | taken;
          known_version = own.version;
          known_seq++
        /* A report showed the order before its answer was read. */
        :: known_seq == own.expected + 1 -> known_good = known_good | taken
        :: else
        fi
      :: else
      fi;
      end_load()
    }
  /* The answer is lost or too late. */
  :: d_step
    {
      !calm && order != IDLE ->
      if
      :: order == SENT ->
        late.expected = own.expected;
        late.version = own.version;
        late.layers = own.layers
      :: else
      fi;
      end_load()
    }
  /* Without a write since the order, a piece that is good now was good when it was taken. */
  :: d_step
    {
      order == IDLE && at_mark && reread_seq == seq &&
          (reread_layers & held & (ALL - known_good)) != 0 &&
#ifndef BROKEN_WRITE
          writes_known &&
#endif
          readable(reread_layers, version) ->
      known_good = known_good | (reread_layers & held)
    }
#ifdef BROKEN_REREAD
  :: d_step
    {
      order == IDLE && at_mark && !proven && reread_seq != NONE && writes_known &&
          readable(held, version) ->
      known_good = held
    }
#endif
#ifdef BROKEN_READ
  :: d_step { restarted && at_mark && !proven && readable(held, version) -> known_good = held }
#endif
  :: d_step
    {
            at_mark && (proven || memory_seq == seq) &&
          (report_version != version || report_held != held || (proven && memory_seq != seq)) ->
      report_version = version;
      report_held = held;
#ifndef BROKEN_NAMED
      named = named | held;
#endif
      memory_seq = (proven -> seq : memory_seq)
    }
  :: d_step { at_mark && !proven && memory_seq == seq -> known_good = held }
  od
}

proctype Entry()
{
end:
  do
  /* A request for any layers of the report, at any time. */
  :: d_step
    {
#ifndef BROKEN_VERSION
      version == report_version &&
#endif
          report_version != 0 && (bad & held & report_held) != 0 ->
      assert(false)
    }
#ifdef BROKEN_RECORD
  :: d_step { version != 0 -> report_version = version; report_held = held }
#endif
  od
}

proctype Faults()
{
  do
  :: d_step { !calm && spoilt[0] == 0 && staged[0] != 0 -> spoilt[0] = 1 }
  :: d_step { !calm && spoilt[1] == 0 && staged[1] != 0 -> spoilt[1] = 1 }
  :: d_step
    {
      !calm && (spoilt[0] == 1 || spoilt[1] == 1 || check_valid) ->
      spoilt[0] = (spoilt[0] == 0 -> 0 : 2);
      spoilt[1] = (spoilt[1] == 0 -> 0 : 2);
      check_valid = false
    }
  :: d_step
    {
      (!calm && (report_version != 0 || named != 0)) || (calm && order == PLANNED && blocked) ->
      report_version = 0;
      report_held = 0;
      named = 0
    }
  /* The entry starts again; an earlier report may still reach it. */
  :: d_step { !calm && memory_seq != NONE -> memory_seq = NONE }
  /* The engine starts again under its id, with the staged pieces or without them. */
  :: d_step
    {
      !calm && restarts < RESTARTS && restarts + kills < STOPS ->
      restarts++;
      if
      :: skip
      :: staged[0] = 0; staged[1] = 0; spoilt[0] = 0; spoilt[1] = 0
      fi;
      seq = 0;
      version = 0;
      held = 0;
      bad = 0;
      clear(late);
      late_write = 0;
      late_piece = 0;
      end_load();
#ifdef BOUND
      report_version = 0;
      report_held = 0;
#endif
      known_seq = NONE;
      memory_seq = NONE;
      reread_seq = NONE;
      reread_layers = 0;
#ifdef BROKEN_RESTART
      named = 0;
#endif
      writes_known = true
    }
  /* The agent is killed and starts again. */
  :: d_step
    {
      !calm && kills < KILLS && restarts + kills < STOPS ->
      kills++;
      if
      :: order == SENT ->
        late.expected = own.expected;
        late.version = own.version;
        late.layers = own.layers
      :: else
      fi;
      end_load();
      known_seq = NONE;
      known_version = 0;
      known_good = 0;
      reread_seq = NONE;
      reread_layers = 0;
      writes_known = false;
#ifdef BROKEN_RELOAD
      named = 0;
#else
      named = ALL;
#endif
      restarted = true
    }
  :: d_step { !calm && wanted < NEWEST -> wanted++ }
  :: d_step { !calm -> calm = true }
  /* Without faults the engine ends up with all layers of the newest version and is used. */
  :: timeout ->
    assert(serves && bad == 0 && report_version == wanted && report_held == ALL);
    break
  od
}

init
{
  d_step
  {
    if
    :: version = 1; held = ALL; staged[0] = 1; staged[1] = 1
    :: skip
    fi;
    known_version = version;
    known_good = held
  }
  atomic { run Engine(); run Agent(); run Entry(); run Faults() }
}

/* Proof that the layers of an engine were taken from whole pieces (docs/platform.md, "Proof of the
 * layers that an engine holds"). A mark is the start of an engine and the number of orders that it
 * has accepted since. Layers change with an accepted order or a restart only, so what is proven of a
 * mark stays true.
 *
 * Model step              Function
 * Engine: accept          the engine's order queue; orders are accepted late or not at all
 * Agent: order            rollout_agent::start_load_if_due, stage_piece, begin_check, confirm_engine,
 *                         send_load_order. One step: what happens between the check and the order
 *                         may as well happen before the engine accepts it
 * Agent: answer           rollout_agent::handle_order_answer
 * Agent: read again       rollout_agent::recheck_load, after an answer in doubt
 * Agent: resolve          rollout_agent::resolve_unanswered_order, update_load
 * Agent: report           rollout_agent::publish_report
 * Agent: recall           an entry answers a report with the proof that it remembers
 * Entry: send             backend_table: choice by report; the engine checks version and layers
 * Faults: spoil, age      a staged piece turns bad; the tolerance passes since then. It is longer than
 *                         whole_report_lifetime and the way of a request together, so entries use
 *                         no report that was asked for before, and their requests have arrived
 *
 * A d_step takes the first alternative that is enabled, so each choice is a step of its own.
 *
 * -DSTRICT: a piece that is replaced by one of another version is bad at once for orders that still
 * take it, not after the tolerance.
 * -DMARKS: only proven marks are asserted, not the requests of entries with older reports.
 *
 * Variants that the checker must reject:
 * BROKEN_REPEAT           an answer 200 proves the mark
 * BROKEN_TRUST            a restarted agent trusts the layers that the engine holds
 * BROKEN_READ             a restarted agent trusts the staged pieces that it reads back
 * BROKEN_VERSION          requests name no version
 * BROKEN_RECORD           an entry takes the store's record of an engine as proof
 * BROKEN_REREAD           pieces that are read back prove layers that an earlier order took
 * BROKEN_WRITE            pieces are read back while an earlier write of one may be on its way
 * BROKEN_RESTART          reports have no age limit; the engine restarts
 * BROKEN_RELOAD           reports have no age limit; the agent is killed, the engine goes on
 */
#if defined(BROKEN_RESTART) || defined(BROKEN_RELOAD)
#define NO_AGE_LIMIT
#endif
#ifdef BROKEN_RESTART
#define KILLS 0
#endif
#ifdef BROKEN_RELOAD
#define RESTARTS 0
#endif
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
#define ORDERS 2 /* orders that an engine accepts per start before the faults end */
#endif
#define NEWEST 2
#define ALL 3 /* layers are a set: bit 0 is the first, bit 1 the rest; each has one piece */
#define NONE 255

/* Engine. */
byte seq = 0, version = 0, held = 0;
byte earlier_orders = 0;
byte bad = 0;   /* layers that were taken from bad pieces */
byte staged[2]; /* version of the piece; 0: missing */
byte spoilt[2]; /* 0: good, 1: bad, 2: bad for longer than the tolerance */
/* The version of the late order, if the piece was replaced less than the tolerance ago. */
byte replaced[2];

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
#define SENT 1
#define ACCEPTED 2
#define REPEATED 3
#define FAILED 4
#define IN_DOUBT 5
byte order = IDLE;
byte taken = 0;           /* layers that the order takes */
bool check_valid = false; /* the check of the staged pieces is not too old yet */
byte wanted = 1;
/* Layers of a mark that are proven. */
byte known_seq = 0, known_version = 0, known_good = 0;
/* The mark after an order without an answer, and the order. */
byte lost_seq = NONE, lost_taken = 0, lost_version = 0, lost_layers = 0;
bool lost_known = false; /* its pieces can be read back: nothing was staged since */
bool writes_known = true; /* no write of a staged piece can be on its way */
bool restarted = false;

/* Entry: what it sends requests for, and the last proven mark. */
byte report_version = 0, report_held = 0;
bool outlived[2]; /* the report was asked for before the piece turned bad */
bool replaced_outlived[2];
byte memory_seq = NONE;

byte restarts = 0, kills = 0, calm_loads = 0;
bool calm = false;

#define readable(layers, v) \
  ((!((layers) & 1) || (staged[0] == v && spoilt[0] == 0)) && \
      (!((layers) & 2) || (staged[1] == v && spoilt[1] == 0)))
/* Too long bad, missing or of another version. */
#define unfit_piece(piece, v) \
  (replaced[piece] != v && (staged[piece] != v || spoilt[piece] == 2))
#define unfit(layers, v) \
  (((((layers) & 1) && unfit_piece(0, v)) -> 1 : 0) | \
      ((((layers) & 2) && unfit_piece(1, v)) -> 2 : 0))
#define at_mark (known_seq == seq)
#define proven (at_mark && known_version == version && (held & (ALL - known_good)) == 0)
#define serves (proven && version == wanted && held == ALL)

inline clear(o)
{
  o.expected = 0;
  o.version = 0;
  o.layers = 0
}

inline drop_late()
{
  clear(late);
  replaced[0] = 0;
  replaced[1] = 0;
  replaced_outlived[0] = false;
  replaced_outlived[1] = false
}

inline forget_order()
{
  lost_seq = NONE;
  lost_taken = 0;
  lost_version = 0;
  lost_layers = 0;
  lost_known = false
}

inline forget_age()
{
  outlived[0] = false;
  outlived[1] = false;
  replaced_outlived[0] = false;
  replaced_outlived[1] = false
}

inline forget_report()
{
  report_version = 0;
  report_held = 0;
  forget_age()
}

inline spoil(piece)
{
  outlived[piece] = (spoilt[piece] == 0 -> report_version != 0 : outlived[piece]);
  spoilt[piece] = (spoilt[piece] == 0 -> 1 : spoilt[piece])
}

inline write(piece, content)
{
#ifndef STRICT
  if
  :: content == late.version -> replaced[piece] = 0; replaced_outlived[piece] = false
  :: content != late.version && staged[piece] != 0 && staged[piece] == late.version &&
        spoilt[piece] != 2 ->
    replaced[piece] = late.version;
    replaced_outlived[piece] = (spoilt[piece] == 1 -> outlived[piece] : report_version != 0)
  :: else
  fi;
#endif
  staged[piece] = content;
  spoilt[piece] = 0;
  outlived[piece] = false
}

/* The order was accepted and took whole pieces. */
inline prove()
{
  if
  :: known_seq == own.expected ->
    known_good = ((known_version == own.version -> known_good : 0) & own.layers) | taken;
    known_version = own.version;
    known_seq++
  /* A report showed the order before its answer was read. */
  :: known_seq == own.expected + 1 -> known_good = known_good | taken
  :: else
  fi
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
  :: d_step { late.version != 0 -> accept(late, ignored); ignored = 0; drop_late() }
  :: d_step { late.version != 0 -> drop_late() }
  :: d_step
    {
      late_write != 0 ->
      if
#ifndef STRICT
      /* The piece counts as one that turns bad. */
      :: staged[late_piece] != late_write && staged[late_piece] != 0 ->
        spoil(late_piece)
#endif
      :: else -> write(late_piece, late_write)
      fi;
      late_write = 0;
      late_piece = 0
    }
  od
}

inline stage(pieces, content)
{
  if
  :: pieces & 1 -> write(0, content)
  :: else
  fi;
  if
  :: pieces & 2 -> write(1, content)
  :: else
  fi;
  lost_known = false;
  lost_taken = 0
}

inline end_load()
{
  order = IDLE;
  taken = 0;
  check_valid = false;
  clear(own)
}

inline load(v, l)
{
  own.expected = seq;
  own.layers = l;
  own.version = v;
  taken = own.layers & (version == own.version -> ALL - held : ALL);
  stage(own.layers, own.version);
  check_valid = true;
  order = SENT;
  if
  :: calm -> calm_loads++; assert(calm_loads < 8)
  :: else
  fi
}

inline lose_write(piece, content)
{
  late_write = content;
  late_piece = piece;
  writes_known = false;
  lost_known = false;
  lost_taken = 0
}

#define may_load \
  (order == IDLE && at_mark && lost_seq != seq && !serves && \
      (calm || seq < earlier_orders + ORDERS))
#define may_plan (may_load && lost_seq != seq + 1)
#define may_reload (may_plan && version == wanted && !proven)
#define may_write (!calm && order == IDLE && late_write == 0)

proctype Agent()
{
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
  /* Loads the wanted version, the layers that lack, or unproven layers again: an order for fewer
   * layers drops the others. After a lost answer the same order is given again, as the first one may
   * still be on its way. Stages and checks the pieces, asks for a report and sends the order. */
  :: d_step { may_load && lost_seq == seq + 1 -> load(lost_version, lost_layers) }
  /* The pieces of some layers are there first. */
  :: d_step { may_plan && version != wanted && held == 0 && !calm -> load(wanted, 1) }
  :: d_step { may_plan && (version != wanted || proven) -> load(wanted, ALL) }
  :: d_step { may_reload && known_good != 0 -> load(wanted, known_good) }
  :: d_step { may_reload && known_good == 0 && held == ALL -> load(wanted, 1) }
  :: d_step { may_reload && known_good == 0 && held != ALL -> load(wanted, ALL - held) }
  /* Planned by a report from before the last order. */
  :: d_step { may_reload && !calm -> load(wanted, held) }
  /* A write of a piece that is not answered ends the load. */
  :: d_step { may_write && lost_seq == seq + 1 -> lose_write(0, lost_version) }
  :: d_step { may_write && lost_seq == seq + 1 -> lose_write(1, lost_version) }
  :: d_step { may_write && lost_seq != seq + 1 -> lose_write(0, wanted) }
  :: d_step { may_write && lost_seq != seq + 1 -> lose_write(1, wanted) }
  :: d_step { may_write && lost_seq != seq + 1 && wanted != 1 -> lose_write(0, 1) }
  :: d_step { may_write && lost_seq != seq + 1 && wanted != 1 -> lose_write(1, 1) }
  :: d_step
    {
      order > SENT && order != IN_DOUBT ->
      if
#ifdef BROKEN_REPEAT
      :: order == REPEATED && check_valid && known_seq == own.expected && known_seq == seq ->
        known_good = known_good | own.layers;
        forget_order();
        end_load()
#endif
      :: order == ACCEPTED && check_valid && writes_known -> prove(); forget_order(); end_load()
#ifdef BROKEN_WRITE
      :: order == ACCEPTED && !(check_valid && writes_known) -> forget_order(); order = IN_DOUBT
#else
      :: order == ACCEPTED && check_valid != writes_known -> forget_order(); order = IN_DOUBT
      :: order == ACCEPTED && !check_valid && !writes_known -> forget_order(); end_load()
#endif
      :: order == REPEATED -> forget_order(); end_load()
      :: order == FAILED -> end_load()
      fi
    }
  /* Of pieces that no write can have replaced since the order, a good one was good then. */
  :: d_step
    {
      order == IN_DOUBT ->
      if
      :: readable(taken, own.version) -> prove()
      :: else
      fi;
      end_load()
    }
  /* The answer is lost or too late. */
  :: d_step
    {
      !calm && order != IDLE && order != IN_DOUBT ->
      if
      :: order == SENT ->
        drop_late();
        late.expected = own.expected;
        late.version = own.version;
        late.layers = own.layers
      :: else
      fi;
      lost_seq = own.expected + 1;
      lost_version = own.version;
      lost_layers = own.layers;
#ifdef BROKEN_WRITE
      lost_known = true;
      lost_taken = taken;
#else
      lost_known = writes_known;
      lost_taken = (lost_known -> taken : 0);
#endif
      end_load()
    }
  :: d_step
    {
      order == IDLE && at_mark && lost_seq <= seq ->
      if
      :: lost_seq == seq && lost_known && version == lost_version && held == lost_layers &&
            readable(lost_taken, version) ->
        known_good = known_good | lost_taken
      :: else
      fi;
      forget_order()
    }
#ifdef BROKEN_REREAD
  :: d_step
    {
      order == IDLE && at_mark && !proven && lost_known && readable(held, version) ->
      known_good = held
    }
#endif
#ifdef BROKEN_READ
  :: d_step { restarted && at_mark && !proven && readable(held, version) -> known_good = held }
#endif
  :: d_step
    {
      at_mark && (proven || memory_seq == seq) &&
          (report_version != version || report_held != held || outlived[0] || outlived[1] ||
              replaced_outlived[0] || replaced_outlived[1] || (proven && memory_seq != seq)) ->
      report_version = version;
      report_held = held;
      forget_age();
      memory_seq = (proven -> seq : memory_seq)
    }
  /* The report reaches other entries, which remember the proof. */
  :: d_step { proven && memory_seq != seq -> memory_seq = seq }
  :: d_step { at_mark && !proven && memory_seq == seq -> known_good = held }
  od
}

proctype Entry()
{
end:
  do
  :: d_step { (proven || memory_seq == seq) && (bad & held) != 0 -> assert(false) }
#ifndef MARKS
  /* A request for any layers of the report, at any time. */
  :: d_step
    {
#ifndef BROKEN_VERSION
      version == report_version &&
#endif
          report_version != 0 && (bad & held & report_held) != 0 ->
      assert(false)
    }
#endif
#ifdef BROKEN_RECORD
  :: d_step { version != 0 -> report_version = version; report_held = held }
#endif
  od
}

/* A check is older than the bad pieces that it found whole. */
inline age(piece, layer)
{
  spoilt[piece] = 2;
  check_valid = check_valid && (own.layers & layer) == 0;
#ifndef NO_AGE_LIMIT
  if
  :: outlived[piece] -> forget_report()
  :: else
  fi
#endif
}

inline age_replaced(piece)
{
  replaced[piece] = 0;
#ifndef NO_AGE_LIMIT
  if
  :: replaced_outlived[piece] -> forget_report()
  :: else
  fi;
#endif
  replaced_outlived[piece] = false
}

#define may_restart (!calm && restarts < RESTARTS && restarts + kills < STOPS)

inline restart()
{
  restarts++;
  seq = 0;
  earlier_orders = 0;
  version = 0;
  held = 0;
  bad = 0;
  drop_late();
  late_write = 0;
  late_piece = 0;
  end_load();
  known_seq = NONE;
  known_version = 0;
  known_good = 0;
  memory_seq = NONE;
  forget_order();
  writes_known = true
}

proctype Faults()
{
  do
  :: d_step { !calm && spoilt[0] == 0 && staged[0] != 0 -> spoil(0) }
  :: d_step { !calm && spoilt[1] == 0 && staged[1] != 0 -> spoil(1) }
  :: d_step { !calm && spoilt[0] == 1 -> age(0, 1) }
  :: d_step { !calm && spoilt[1] == 1 -> age(1, 2) }
  :: d_step { !calm && replaced[0] != 0 -> age_replaced(0) }
  :: d_step { !calm && replaced[1] != 0 -> age_replaced(1) }
  :: d_step { !calm && check_valid -> check_valid = false }
  /* The entry starts again; an earlier report may still reach it. */
  :: d_step { !calm && memory_seq != NONE -> memory_seq = NONE }
  /* The engine starts again under its id, with the staged pieces or without them. */
  :: d_step { may_restart -> restart() }
  :: d_step { may_restart -> restart(); write(0, 0); write(1, 0) }
  /* The agent is killed and starts again. */
  :: d_step
    {
      !calm && kills < KILLS && restarts + kills < STOPS ->
      kills++;
      if
      :: order == SENT ->
        drop_late();
        late.expected = own.expected;
        late.version = own.version;
        late.layers = own.layers
      :: else
      fi;
      end_load();
      known_seq = NONE;
      known_version = 0;
      known_good = 0;
      forget_order();
      writes_known = false;
#if defined(BROKEN_TRUST) || defined(BROKEN_READ)
      restarted = true
#endif
    }
  :: d_step { !calm && wanted < NEWEST -> wanted++ }
  /* The faults end when all late calls have arrived or are lost. */
  :: d_step
    {
      !calm && order == IDLE && late.version == 0 && late_write == 0 ->
      calm = true;
      forget_age()
    }
  /* Without faults the engine ends up with all layers of the newest version and is used. */
  :: timeout ->
    assert(serves && bad == 0 && report_version == wanted && report_held == ALL);
    break
  od
}

init
{
  atomic
  {
    if
    :: version = 1; held = ALL; staged[0] = 1; staged[1] = 1
    :: version = 1; held = ALL; staged[0] = 1; staged[1] = 1; seq = 1
    :: skip
    fi;
    known_seq = seq;
    earlier_orders = seq;
    known_version = version;
    known_good = held;
    run Engine();
    run Agent();
    run Entry();
    run Faults()
  }
}

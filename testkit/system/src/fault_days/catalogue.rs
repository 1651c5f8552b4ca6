//! The kinds of trouble that the bench plays, with their variants and the ranges that days are drawn from.

/// In which list of a day a trouble stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Planned work.
    Planned,
    /// A fault.
    Unplanned,
}

/// One kind of trouble, and from which ranges its entries are drawn.
#[derive(Clone, Copy, Debug)]
pub struct TroubleKind {
    /// Its name at the bench.
    pub name: &'static str,
    /// Whether it is planned work.
    pub phase: Phase,
    /// The bench plays it only on deployments whose contracts include `health`.
    pub needs_health_contract: bool,
    /// It strikes the control plane, the backends or their state.
    pub strikes_state: bool,
    /// Classes of machines that it may strike; an empty one leaves the choice to the bench.
    pub machine_classes: &'static [&'static str],
    /// Values of `how`, of which one is drawn; an empty one is the plain form.
    pub variants: &'static [&'static str],
    /// Words that may stand behind the variant.
    pub modifiers: &'static [&'static str],
    /// The fewest and most things that it strikes.
    pub count: Option<(u32, u32)>,
    /// The least and the largest part of the things that it strikes.
    pub share: Option<(f64, f64)>,
    /// Values of `x`; each is varied by up to three tenths.
    pub strengths: &'static [f64],
    /// How long it lasts, in seconds.
    pub lasts_s: Option<(f64, f64)>,
    /// The pause between its steps, in seconds.
    pub gap_s: Option<(f64, f64)>,
}

/// What a kind has unless its entry says otherwise.
const PLAIN: TroubleKind = TroubleKind {
    name: "",
    phase: Phase::Unplanned,
    needs_health_contract: false,
    strikes_state: false,
    machine_classes: &[],
    variants: &[],
    modifiers: &[],
    count: None,
    share: None,
    strengths: &[],
    lasts_s: None,
    gap_s: None,
};

/// Which machines are struck, and what else happens around it.
const MACHINE_MODIFIERS: &[&str] = &[
    "leader",
    "leader race",
    "leader race drain hard",
    "reader",
    "giver",
    "seed",
    "turn",
    "meet",
    "meet drain",
    "race",
    "hard",
    "drain",
];
/// Classes of machines.
const ANY_CLASS: &[&str] = &["", "core", "store", "front"];
/// Classes of machines with a disk.
const DISK_CLASSES: &[&str] = &["core", "store"];

/// All kinds of trouble.
pub const KINDS: &[TroubleKind] = &[
    TroubleKind {
        name: "srv_crash",
        variants: &["", "dark", "gone", "across", "all dark"],
        share: Some((0.05, 0.5)),
        lasts_s: Some((1.0, 8.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "srv_slow",
        share: Some((0.1, 0.5)),
        strengths: &[4.0, 10.0],
        lasts_s: Some((2.0, 9.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "release",
        strikes_state: true,
        phase: Phase::Planned,
        share: Some((0.2, 1.0)),
        strengths: &[1.0, 3.0],
        gap_s: Some((0.3, 1.5)),
        ..PLAIN
    },
    TroubleKind {
        name: "answer_lost",
        variants: &["", "reset"],
        share: Some((0.2, 1.0)),
        strengths: &[0.03, 0.2],
        lasts_s: Some((2.0, 9.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "garble",
        variants: &["", "extra", "extra late", "unframed", "early", "unframed early"],
        share: Some((0.2, 1.0)),
        strengths: &[0.02, 0.15],
        lasts_s: Some((2.0, 9.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "node_kill",
        strikes_state: true,
        machine_classes: ANY_CLASS,
        variants: &["", "power"],
        modifiers: MACHINE_MODIFIERS,
        count: Some((1, 4)),
        lasts_s: Some((0.5, 8.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "node_freeze",
        strikes_state: true,
        machine_classes: ANY_CLASS,
        modifiers: MACHINE_MODIFIERS,
        count: Some((1, 4)),
        lasts_s: Some((0.5, 9.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "node_slow",
        strikes_state: true,
        machine_classes: ANY_CLASS,
        modifiers: MACHINE_MODIFIERS,
        count: Some((1, 3)),
        strengths: &[5.0, 15.0],
        lasts_s: Some((2.0, 9.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "roll_term",
        strikes_state: true,
        phase: Phase::Planned,
        machine_classes: ANY_CLASS,
        variants: &["", "busy"],
        modifiers: MACHINE_MODIFIERS,
        share: Some((0.2, 1.0)),
        strengths: &[1.0],
        gap_s: Some((0.8, 3.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "herd_kill",
        strikes_state: true,
        machine_classes: ANY_CLASS,
        variants: &["", "power", "off", "taken", "taken all"],
        share: Some((0.3, 1.0)),
        lasts_s: Some((0.5, 4.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "add_nodes",
        strikes_state: true,
        phase: Phase::Planned,
        machine_classes: &["core", "store", "front"],
        count: Some((1, 3)),
        ..PLAIN
    },
    TroubleKind {
        name: "replace_core",
        strikes_state: true,
        machine_classes: DISK_CLASSES,
        variants: &["", "planned", "oldest"],
        modifiers: MACHINE_MODIFIERS,
        strengths: &[0.3, 1.0, 3.0],
        ..PLAIN
    },
    TroubleKind {
        name: "after_ack_kill",
        strikes_state: true,
        machine_classes: DISK_CLASSES,
        variants: &["", "kill", "timed", "taken", "taken gone"],
        count: Some((1, 2)),
        lasts_s: Some((0.5, 4.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "after_ack_wipe",
        strikes_state: true,
        machine_classes: DISK_CLASSES,
        variants: &["", "oldest", "timed", "taken"],
        count: Some((1, 2)),
        lasts_s: Some((0.5, 4.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "disk_slow",
        strikes_state: true,
        machine_classes: DISK_CLASSES,
        modifiers: MACHINE_MODIFIERS,
        count: Some((1, 3)),
        strengths: &[30.0, 100.0],
        lasts_s: Some((2.0, 9.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "disk_stall",
        strikes_state: true,
        machine_classes: DISK_CLASSES,
        modifiers: MACHINE_MODIFIERS,
        count: Some((1, 3)),
        lasts_s: Some((1.0, 8.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "disk_full",
        strikes_state: true,
        machine_classes: DISK_CLASSES,
        modifiers: MACHINE_MODIFIERS,
        count: Some((1, 2)),
        lasts_s: Some((1.0, 8.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "core_cut",
        strikes_state: true,
        machine_classes: DISK_CLASSES,
        variants: &[
            "", "behind", "split", "all", "near", "oldest", "one_way", "seeds", "both", "lure", "relieve",
            "reset", "refuse",
        ],
        modifiers: MACHINE_MODIFIERS,
        count: Some((1, 2)),
        lasts_s: Some((1.0, 21.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "config_change",
        strikes_state: true,
        phase: Phase::Planned,
        variants: &["route", "weights", "timeout", "idle", "route weights"],
        ..PLAIN
    },
    TroubleKind {
        name: "config_race",
        strikes_state: true,
        phase: Phase::Planned,
        count: Some((1, 6)),
        gap_s: Some((0.1, 1.5)),
        ..PLAIN
    },
    TroubleKind {
        name: "bad_config",
        strikes_state: true,
        phase: Phase::Planned,
        variants: &[
            "",
            "cut_short",
            "unknown_service",
            "same_place",
            "no_weight",
            "no_timeout",
            "old_version",
            "same_version",
        ],
        count: Some((1, 6)),
        gap_s: Some((0.1, 1.5)),
        ..PLAIN
    },
    TroubleKind {
        name: "ack_lost",
        strikes_state: true,
        strengths: &[0.5, 0.7],
        lasts_s: Some((3.0, 16.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "retire",
        strikes_state: true,
        phase: Phase::Planned,
        variants: &["", "wipe"],
        lasts_s: Some((5.0, 12.0)),
        ..PLAIN
    },
    TroubleKind { name: "burst", strengths: &[2.0, 4.0], lasts_s: Some((1.0, 5.0)), ..PLAIN },
    TroubleKind { name: "give_up", share: Some((0.1, 0.8)), lasts_s: Some((2.0, 9.0)), ..PLAIN },
    TroubleKind {
        name: "srv_grey",
        variants: &["", "errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors one_zone"],
        share: Some((0.1, 0.4)),
        strengths: &[0.4, 0.8],
        lasts_s: Some((2.0, 9.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "srv_cut",
        variants: &["", "fronts", "some", "some lossy", "one_way", "reset"],
        share: Some((0.1, 0.6)),
        strengths: &[0.3],
        lasts_s: Some((1.0, 9.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "srv_lying_health",
        needs_health_contract: true,
        variants: &["errors", "bad"],
        share: Some((0.1, 0.4)),
        lasts_s: Some((2.0, 9.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "srv_flap",
        needs_health_contract: true,
        share: Some((0.05, 0.3)),
        lasts_s: Some((3.0, 9.0)),
        gap_s: Some((0.4, 1.5)),
        ..PLAIN
    },
    TroubleKind {
        name: "idle_race",
        needs_health_contract: true,
        share: Some((0.2, 1.0)),
        strengths: &[100.0, 300.0],
        lasts_s: Some((3.0, 12.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "replace_with_reuse",
        variants: &["", "drain", "dark"],
        share: Some((0.1, 0.4)),
        ..PLAIN
    },
    TroubleKind {
        name: "scale_out",
        phase: Phase::Planned,
        share: Some((0.1, 0.6)),
        gap_s: Some((0.1, 2.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "scale_in",
        phase: Phase::Planned,
        variants: &["", "spot"],
        share: Some((0.1, 0.4)),
        strengths: &[2.0],
        ..PLAIN
    },
    TroubleKind { name: "seed_turnover", strikes_state: true, phase: Phase::Planned, ..PLAIN },
    TroubleKind {
        name: "clock_step",
        strikes_state: true,
        variants: &["back", "ahead"],
        share: Some((0.1, 1.0)),
        strengths: &[2_000.0, 60_000.0, 4_000_000.0],
        lasts_s: Some((0.5, 15.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "hup",
        strikes_state: true,
        phase: Phase::Planned,
        machine_classes: ANY_CLASS,
        share: Some((0.2, 1.0)),
        gap_s: Some((0.1, 2.0)),
        ..PLAIN
    },
    TroubleKind {
        name: "reset_conns",
        strikes_state: true,
        machine_classes: ANY_CLASS,
        modifiers: MACHINE_MODIFIERS,
        share: Some((0.1, 1.0)),
        strengths: &[0.5, 0.75],
        ..PLAIN
    },
    TroubleKind {
        name: "node_cut",
        strikes_state: true,
        machine_classes: ANY_CLASS,
        variants: &["", "all", "servers"],
        modifiers: MACHINE_MODIFIERS,
        share: Some((0.1, 0.5)),
        lasts_s: Some((1.0, 21.0)),
        ..PLAIN
    },
];

/// Final faults with their variants.
pub const CLOSINGS: &[(&str, &[&str])] = &[
    ("power_off_all", &["", "all", "all taken", "timed", "taken"]),
    ("wipe_after_ack", &["", "all", "timed", "taken", "all taken", "oldest", "all oldest"]),
    ("kill_all", &["", "timed", "taken"]),
];

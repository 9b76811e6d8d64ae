//! The module's decisions as the wire's actions.

use lynxmill_assigner::Orders;
use lynxmill_time::TimeDelta;
use serde_json::{Value, json};

#[derive(Default)]
pub(crate) struct Reply {
    pub orders: Vec<Value>,
}

impl Reply {
    fn debug(&mut self, line: String) {
        self.orders.push(json!({"debug": {"line": line}}));
    }
}

impl Orders for Reply {
    fn publish(&mut self, slice: usize, task: u32) {
        self.orders
            .push(json!({"line": {"tbl": slice, "weight": 1, "task": task}}));
    }

    fn shut(&mut self, slice: usize, task: u32) {
        self.orders
            .push(json!({"line": {"tbl": slice, "weight": 0, "task": task}}));
    }

    fn let_in(&mut self, slice: usize, mask: u64, level: f64, again: u8) {
        self.orders
            .push(json!({"ration": {"tbl": slice, "mask": mask, "let_in": level, "again": again}}));
    }

    fn mark(&mut self, number: u16) {
        self.orders
            .push(json!({"checkpoint": {"number": number, "on": true}}));
    }

    fn wake(&mut self, after: TimeDelta) {
        self.orders
            .push(json!({"wake_me": {"wait": after.secs(), "tag": 0}}));
    }

    fn subscribe(&mut self) {
        self.orders.push(json!({"keep_informed": {"on": true}}));
    }

    fn probe(&mut self, task: u32) {
        self.orders.push(json!({"health_check": {"task": task}}));
    }

    fn answers_no_one(&mut self, task: u32) {
        self.debug(format!("server {task} answers no one, moving its slices"));
    }

    fn stays(&mut self, slice: usize) {
        self.debug(format!(
            "slice {slice} stays with its owner: a proxy keeps silent"
        ));
    }
}

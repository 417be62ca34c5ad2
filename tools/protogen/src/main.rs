//! Generates `src/gen/` from `proto/`. Run it with `cargo run` in this directory after a schema change.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../proto");
    let schema = format!("{root}/sorrelwick/v1/operator.proto");
    let files = protox::compile([schema], [root])?;
    tonic_prost_build::configure()
        .out_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../../src/gen"))
        .compile_fds(files)?;
    Ok(())
}

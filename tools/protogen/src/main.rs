//! Writes `src/gen/` from `proto/`; run by hand when the schema changes: `cargo run` in this folder.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../proto");
    let schema = format!("{root}/sorrelwick/v1/operator.proto");
    let files = protox::compile([schema], [root])?;
    tonic_prost_build::configure()
        .out_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../../src/gen"))
        .compile_fds(files)?;
    Ok(())
}

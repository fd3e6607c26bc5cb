"""Change tickets: acceptance, spreading and the deployment state."""
